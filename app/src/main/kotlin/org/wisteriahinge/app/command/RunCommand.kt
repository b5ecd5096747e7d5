package org.wisteriahinge.app.command

import io.github.oshai.kotlinlogging.KotlinLogging
import java.io.IOException
import java.time.Clock
import kotlinx.cli.ExperimentalCli
import org.wisteriahinge.app.ExitCode
import org.wisteriahinge.app.Instance
import org.wisteriahinge.app.settings.SettingValues
import org.wisteriahinge.app.settings.Settings
import org.wisteriahinge.app.settings.toInstanceSettings
import org.wisteriahinge.charts.InvalidChartException
import org.wisteriahinge.core.ChartCatalog

private val logger = KotlinLogging.logger {}

@OptIn(ExperimentalCli::class)
internal class RunCommand(context: CommandContext) :
    Command("run", "Run an instance until SIGTERM", context, Settings.ofInstance) {
    override fun run(): Int = withSettings { values ->
        try {
            ChartCatalog.loadAll()
            serve(values)
        } catch (e: InvalidChartException) {
            reportFailure(e.message ?: "a state chart is invalid; reinstall the binary")
        }
    }

    private fun serve(values: SettingValues): Int {
        val settings = values.toInstanceSettings(seed = ProcessHandle.current().pid())
        val instance = Instance(settings, Clock.systemUTC())
        return try {
            val ports = instance.start()
            logger.info { "serving callers on port ${ports.caller}, admin on ${ports.admin}" }
            Runtime.getRuntime().addShutdownHook(Thread({ stop(instance) }, "shutdown"))
            instance.awaitStopped()
            ExitCode.DONE
        } catch (e: IOException) {
            reportFailure(
                "cannot listen on ${settings.callerHost}:${settings.callerPort} or " +
                    "${settings.process.adminHost}:${settings.process.adminPort} " +
                    "(${e.message}); choose free addresses"
            )
        }
    }

    private fun stop(instance: Instance) {
        instance.drain()
        instance.close()
        logger.info { "stopped" }
        // The JVM would exit with 143 after SIGTERM, which supervisors take for a failure.
        Runtime.getRuntime().halt(0)
    }
}
