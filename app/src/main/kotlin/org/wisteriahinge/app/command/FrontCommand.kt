package org.wisteriahinge.app.command

import io.github.oshai.kotlinlogging.KotlinLogging
import java.io.IOException
import kotlinx.cli.ExperimentalCli
import org.wisteriahinge.app.ExitCode
import org.wisteriahinge.app.FrontInstance
import org.wisteriahinge.app.settings.SettingValues
import org.wisteriahinge.app.settings.Settings
import org.wisteriahinge.app.settings.toFrontSettings
import org.wisteriahinge.charts.InvalidChartException
import org.wisteriahinge.core.ChartCatalog
import org.wisteriahinge.runtime.SteadyClock
import sun.misc.Signal

private val logger = KotlinLogging.logger {}

@OptIn(ExperimentalCli::class)
internal class FrontCommand(context: CommandContext) :
    Command(
        "front",
        "Run an instance on the users' platform until SIGTERM",
        context,
        Settings.ofFront
    ) {
    override fun run(): Int = withSettings { values ->
        try {
            ChartCatalog.loadAll()
            serve(values)
        } catch (e: InvalidChartException) {
            failed(e.message ?: "a state chart is invalid; reinstall the binary")
        }
    }

    private fun serve(values: SettingValues): Int {
        // Processes of different machines may have the same id.
        val seed = System.nanoTime() xor values[Settings.instanceName].hashCode().toLong()
        val settings = values.toFrontSettings(seed)
        // The settings are the command line, so that there is nothing to reload. Without a handler
        // the signal would end the process.
        Signal.handle(Signal("HUP")) {
            logger.info { "SIGHUP: settings take effect at a start" }
        }
        val instance = FrontInstance(settings, SteadyClock())
        return try {
            Runtime.getRuntime().addShutdownHook(Thread({ stop(instance) }, "shutdown"))
            instance.start()
            logger.info { "instance ${settings.name} serves callers on ${settings.callers}" }
            instance.awaitStopped()
            ExitCode.DONE
        } catch (e: IOException) {
            failed(
                "cannot listen on ${settings.callers} or ${settings.ready} (${e.message}); " +
                    "choose free addresses"
            )
        }
    }

    private fun stop(instance: FrontInstance) {
        instance.drain()
        logger.info { "stopped" }
        // The JVM would exit with 143 after SIGTERM, which supervisors take for a failure.
        Runtime.getRuntime().halt(0)
    }
}
