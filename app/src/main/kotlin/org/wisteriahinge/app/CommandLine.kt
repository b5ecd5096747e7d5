@file:OptIn(ExperimentalCli::class)

package org.wisteriahinge.app

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.app.command.CheckCommand
import org.wisteriahinge.app.command.Command
import org.wisteriahinge.app.command.CommandContext
import org.wisteriahinge.app.command.FrontCommand
import org.wisteriahinge.app.command.HashSecretCommand
import org.wisteriahinge.app.command.HelpCommand
import org.wisteriahinge.app.command.PublishCommand
import org.wisteriahinge.app.command.RevisionsCommand
import org.wisteriahinge.app.command.RunCommand
import org.wisteriahinge.app.command.SettingsCommand
import org.wisteriahinge.app.command.ShowCommand
import org.wisteriahinge.app.command.VersionCommand
import org.wisteriahinge.app.command.WarmUpCommand

private const val PROGRAM = "wisteriahinge"

/** Runs the command that the first argument names. */
internal class CommandLine(private val context: CommandContext) {
    private val commands: PersistentList<Command> = persistentListOf(
        RunCommand(context),
        FrontCommand(context),
        WarmUpCommand(context),
        CheckCommand(context),
        PublishCommand(context),
        ShowCommand(context),
        RevisionsCommand(context),
        SettingsCommand(context),
        HashSecretCommand(context),
        VersionCommand(context),
        HelpCommand(context, ::all)
    )

    private fun all(): List<Command> = commands

    /** Runs the command in [arguments] and returns its exit code. */
    fun run(arguments: List<String>): Int {
        val name = arguments.firstOrNull()
        val command = commands.find { it.name == name }
        return when {
            name == "--help" || name == "-h" -> run(listOf("help"))
            command == null -> {
                val found = name?.let { "unknown command '$it'" } ?: "a command is required"
                usage("$found; use one of ${commands.joinToString { it.name }}")
            }
            else -> run(command, arguments)
        }
    }

    private fun run(command: Command, arguments: List<String>): Int {
        val errors = command.argumentErrors(arguments.drop(1))
        if (errors.isNotEmpty()) {
            return usage(
                "${command.name}: ${errors.joinToString()}; see '$PROGRAM ${command.name} --help'"
            )
        }
        val parser = ArgParser(PROGRAM)
        parser.subcommands(command)
        parser.parse(arguments.toTypedArray())
        return command.result ?: ExitCode.USAGE
    }

    private fun usage(problem: String): Int {
        context.err.println("$PROGRAM: $problem")
        return ExitCode.USAGE
    }
}
