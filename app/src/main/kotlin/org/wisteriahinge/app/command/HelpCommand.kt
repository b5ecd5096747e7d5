package org.wisteriahinge.app.command

import kotlinx.cli.ExperimentalCli
import org.wisteriahinge.app.ExitCode

@OptIn(ExperimentalCli::class)
internal class HelpCommand(context: CommandContext, private val others: () -> List<Command>) :
    Command("help", "Print what each command does", context) {
    override fun run(): Int {
        context.out.println("Usage: wisteriahinge COMMAND [flags]")
        others().forEach { context.out.println("  ${it.name.padEnd(12)} ${it.actionDescription}") }
        context.out.println("'wisteriahinge COMMAND --help' lists the flags of a command.")
        context.out.println("Exit codes: 0 done, 1 refused or failed, 2 wrong usage or bad input.")
        return ExitCode.DONE
    }
}
