package org.wisteriahinge.app.command

import kotlinx.cli.ExperimentalCli
import org.wisteriahinge.app.ExitCode
import org.wisteriahinge.app.settings.Settings

@OptIn(ExperimentalCli::class)
internal class SettingsCommand(context: CommandContext) :
    Command(
        "settings",
        "Print the settings of 'run' with their sources and without secrets",
        context,
        Settings.ofInstance
    ) {
    override fun run(): Int {
        val values = settings()
        values.all.forEach { context.out.println(it.toDisplayLine()) }
        return if (values.errors.isEmpty()) ExitCode.DONE else reportBadInput(values.errors)
    }
}
