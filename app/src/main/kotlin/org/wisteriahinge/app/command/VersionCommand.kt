package org.wisteriahinge.app.command

import java.util.Properties
import kotlinx.cli.ExperimentalCli
import org.wisteriahinge.app.ExitCode

@OptIn(ExperimentalCli::class)
internal class VersionCommand(context: CommandContext) :
    Command("version", "Print the version", context) {
    override fun run(): Int {
        val properties = Properties().apply {
            VersionCommand::class.java.getResourceAsStream("/version.properties").use(::load)
        }
        context.out.println("wisteriahinge ${properties.getProperty("version")}")
        return ExitCode.DONE
    }
}
