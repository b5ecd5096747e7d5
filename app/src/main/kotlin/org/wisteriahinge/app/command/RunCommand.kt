package org.wisteriahinge.app.command

import java.io.IOException
import java.time.Clock
import kotlinx.cli.ExperimentalCli
import org.wisteriahinge.app.ExitCode
import org.wisteriahinge.app.Instance
import org.wisteriahinge.app.settings.Settings
import org.wisteriahinge.app.settings.toInstanceSettings

@OptIn(ExperimentalCli::class)
internal class RunCommand(context: CommandContext) :
    Command("run", "Run an instance until SIGTERM", context, Settings.ofInstance) {
    override fun run(): Int = withSettings { values ->
        val settings = values.toInstanceSettings(seed = ProcessHandle.current().pid())
        val instance = Instance(settings, Clock.systemUTC())
        try {
            instance.start()
            Runtime.getRuntime().addShutdownHook(Thread(instance::close, "shutdown"))
            ExitCode.DONE
        } catch (e: IOException) {
            instance.close()
            failed(
                "cannot listen on ${settings.callerHost}:${settings.callerPort} " +
                    "(${e.message}); choose a free address"
            )
        }
    }
}
