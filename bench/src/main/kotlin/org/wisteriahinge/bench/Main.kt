package org.wisteriahinge.bench

import kotlin.system.exitProcess
import org.wisteriahinge.bench.fuzz.fuzzCommand

/** Entry point of the measurement tools: `demo` or the name of a scenario. */
public fun main(args: Array<String>) {
    when (args.firstOrNull()) {
        "demo" -> Demo().use { it.run() }
        "fuzz" -> if (!fuzzCommand(
                flag(args, "--seed", 1),
                flag(args, "--steps", 20_000).toInt()
            )
        ) {
            exitProcess(1)
        }
        else -> {
            System.err.println("usage: bench demo")
            exitProcess(2)
        }
    }
    exitProcess(0)
}

/** The number after [name] among [args]; [default] when the flag is absent. */
private fun flag(args: Array<String>, name: String, default: Long): Long =
    args.toList().zipWithNext().firstOrNull { it.first == name }?.second?.toLong() ?: default
