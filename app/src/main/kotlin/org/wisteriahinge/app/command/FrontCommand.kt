package org.wisteriahinge.app.command

import io.github.oshai.kotlinlogging.KotlinLogging
import java.io.IOException
import kotlinx.cli.ExperimentalCli
import org.wisteriahinge.adapters.caller.ListeningSocket
import org.wisteriahinge.app.ExitCode
import org.wisteriahinge.app.FrontInstance
import org.wisteriahinge.app.FrontSettings
import org.wisteriahinge.app.settings.Settings
import org.wisteriahinge.app.settings.toFrontSettings
import org.wisteriahinge.charts.InvalidChartException
import org.wisteriahinge.core.ChartCatalog
import org.wisteriahinge.runtime.MonotonicClock

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
        // Not the process id, which may be the same on different machines.
        val seed = System.nanoTime() xor values[Settings.instanceName].hashCode().toLong()
        val settings = values.toFrontSettings(seed)
        try {
            serve(settings, ListeningSocket.open(settings.callers.host, settings.callers.port))
        } catch (e: InvalidChartException) {
            reportFailure(e.message ?: "a state chart is invalid; reinstall the binary")
        } catch (e: IOException) {
            val addresses = listOfNotNull(settings.callers, settings.ready, settings.handover)
            reportFailure(
                "cannot listen on ${addresses.joinToString(" or ")} (${e.message}); " +
                    "choose free addresses"
            )
        }
    }

    private fun serve(settings: FrontSettings, socket: ListeningSocket): Int {
        ChartCatalog.loadForOpenRoutes()
        val instance = FrontInstance(settings, MonotonicClock(), socket)
        val shutdown = Thread({ stop(instance) }, "shutdown")
        Runtime.getRuntime().addShutdownHook(shutdown)
        try {
            instance.start()
        } catch (e: IOException) {
            // It would end the process as after a planned stop, with exit code 0.
            Runtime.getRuntime().removeShutdownHook(shutdown)
            throw e
        }
        logger.info { "instance ${settings.name} serves callers on ${settings.callers}" }
        instance.awaitStopped()
        return ExitCode.DONE
    }

    private fun stop(instance: FrontInstance) {
        instance.drain()
        logger.info { "stopped" }
        // The JVM would exit with 143 after SIGTERM, which supervisors take for a failure.
        Runtime.getRuntime().halt(0)
    }
}
