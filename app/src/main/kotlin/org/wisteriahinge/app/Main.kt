@file:OptIn(ExperimentalCli::class)

package org.wisteriahinge.app

import kotlin.system.exitProcess
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli

/** Entry point of the one binary; each subcommand is a class of its own. */
public fun main(args: Array<String>) {
    val parser = ArgParser("wisteriahinge")
    parser.subcommands(RunCommand(), PublishCommand(), HashSecretCommand())
    if (args.isEmpty()) {
        System.err.println("wisteriahinge: a command is required; see 'wisteriahinge --help'")
        exitProcess(ExitCode.USAGE)
    }
    parser.parse(args)
}

/** Exit codes of every command. */
public object ExitCode {
    /** The command was refused or failed. */
    public const val FAILED: Int = 1

    /** Wrong usage or bad input. */
    public const val USAGE: Int = 2
}
