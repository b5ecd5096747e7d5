package org.wisteriahinge.app

import kotlin.system.exitProcess
import kotlinx.collections.immutable.toPersistentMap
import org.wisteriahinge.app.command.CommandContext

/** Runs the command in [args]. A running instance keeps the process alive. */
public fun main(args: Array<String>) {
    LogProvider.install()
    ignoreHangupSignal(args.firstOrNull())
    endProcessOnThreadFailure(args.firstOrNull())
    val context = CommandContext(System.getenv().toPersistentMap(), System.out, System.err)
    val code = CommandLine(context).run(args.toList())
    if (code != ExitCode.DONE) exitProcess(code)
}
