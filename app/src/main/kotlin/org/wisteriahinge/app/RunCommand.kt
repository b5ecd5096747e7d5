@file:OptIn(ExperimentalCli::class)

package org.wisteriahinge.app

import io.github.oshai.kotlinlogging.KotlinLogging
import java.net.BindException
import java.time.Clock
import java.time.Duration
import kotlin.system.exitProcess
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import org.wisteriahinge.core.model.Zone

private val logger = KotlinLogging.logger {}

internal class RunCommand : Subcommand("run", "Run an instance") {
    private val zone by option(ArgType.String, "zone", description = "Zone of this instance")
        .required()
    private val callerHost by option(ArgType.String, "caller-host").default("127.0.0.1")
    private val callerPort by option(ArgType.Int, "caller-port").default(8080)
    private val adminHost by option(ArgType.String, "admin-host").default("127.0.0.1")
    private val adminPort by option(ArgType.Int, "admin-port").default(8081)
    private val drainSeconds by option(
        ArgType.Int,
        "drain-seconds",
        description = "Time for calls in progress after SIGTERM"
    ).default(20)
    private val logUrl by option(ArgType.String, "log-url").required()
    private val credentialKey by option(ArgType.String, "credential-key").required()

    override fun execute() {
        val settings = InstanceSettings(
            zone = Zone(zone),
            callerHost = callerHost,
            callerPort = callerPort,
            logUrl = logUrl,
            credentialKey = credentialKey,
            seed = ProcessHandle.current().pid(),
            process = ProcessSettings(
                adminHost = adminHost,
                adminPort = adminPort,
                drainTime = Duration.ofSeconds(drainSeconds.toLong())
            )
        )
        serve(Instance(settings, Clock.systemUTC()))
    }

    private fun serve(instance: Instance) {
        try {
            val ports = instance.start()
            logger.info { "serving callers on port ${ports.caller}, admin on ${ports.admin}" }
        } catch (e: BindException) {
            System.err.println(
                "wisteriahinge: cannot listen on $callerHost:$callerPort and " +
                    "$adminHost:$adminPort (${e.message}); free the address or choose another"
            )
            exitProcess(ExitCode.FAILED)
        }
        Runtime.getRuntime().addShutdownHook(Thread({ stop(instance) }, "shutdown"))
    }

    private fun stop(instance: Instance) {
        instance.drain()
        instance.close()
        logger.info { "stopped" }
        // The JVM would exit with 143 after SIGTERM, which supervisors take for a failure.
        Runtime.getRuntime().halt(0)
    }
}
