@file:OptIn(ExperimentalCli::class)

package org.wisteriahinge.app

import java.time.Clock
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import org.wisteriahinge.core.model.Zone

internal class RunCommand : Subcommand("run", "Run an instance") {
    private val zone by option(ArgType.String, "zone", description = "Zone of this instance")
        .required()
    private val callerHost by option(ArgType.String, "caller-host").default("127.0.0.1")
    private val callerPort by option(ArgType.Int, "caller-port").default(8080)
    private val logUrl by option(ArgType.String, "log-url").required()
    private val credentialKey by option(ArgType.String, "credential-key").required()

    override fun execute() {
        val settings = InstanceSettings(
            zone = Zone(zone),
            callerHost = callerHost,
            callerPort = callerPort,
            logUrl = logUrl,
            credentialKey = credentialKey,
            seed = ProcessHandle.current().pid()
        )
        val instance = Instance(settings, Clock.systemUTC())
        Runtime.getRuntime().addShutdownHook(Thread(instance::close, "shutdown"))
        instance.start()
    }
}
