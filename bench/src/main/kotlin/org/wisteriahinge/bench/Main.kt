package org.wisteriahinge.bench

import kotlin.system.exitProcess

/** Entry point of the measurement tools: `demo` or the name of a scenario. */
public fun main(args: Array<String>) {
    when (args.firstOrNull()) {
        "demo" -> Demo().use { it.run() }
        else -> {
            System.err.println("usage: bench demo")
            exitProcess(2)
        }
    }
    exitProcess(0)
}
