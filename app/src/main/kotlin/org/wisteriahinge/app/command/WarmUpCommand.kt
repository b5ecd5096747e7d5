package org.wisteriahinge.app.command

import java.time.Duration
import kotlinx.cli.ExperimentalCli
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.wisteriahinge.adapters.caller.ListeningSocket
import org.wisteriahinge.app.ExitCode
import org.wisteriahinge.app.FrontInstance
import org.wisteriahinge.app.ignoreHangupSignal
import org.wisteriahinge.app.settings.SettingInputs
import org.wisteriahinge.app.settings.SettingValues
import org.wisteriahinge.app.settings.Settings
import org.wisteriahinge.app.settings.resolveSettings
import org.wisteriahinge.app.settings.toFrontSettings
import org.wisteriahinge.core.ChartCatalog
import org.wisteriahinge.runtime.MonotonicClock

private const val WARM_UP_CALLS = 300
private val WARM_UP_TIME_LIMIT: Duration = Duration.ofSeconds(20)

/** Nothing listens at this address, so the instance reads no configuration during the warm-up. */
private const val UNUSED_ADDRESS = "127.0.0.1:9"
private const val ANY_PORT = "127.0.0.1:0"

private val warmUpFlags: PersistentMap<String, String> = persistentMapOf(
    Settings.zone.name to "warm-up",
    Settings.instanceName.name to "warm-up",
    Settings.callerAddress.name to ANY_PORT,
    Settings.readyAddress.name to ANY_PORT,
    Settings.storeAddress.name to UNUSED_ADDRESS,
    Settings.relays.name to UNUSED_ADDRESS,
    Settings.graceSeconds.name to "1"
)

/** Runs the start of `front` and some calls, so that the class archive contains their classes. */
@OptIn(ExperimentalCli::class)
internal class WarmUpCommand(context: CommandContext) :
    Command(
        "warm-up",
        "Load the code of 'front' once, to record a class archive at build",
        context
    ) {
    override fun run(): Int {
        val values =
            resolveSettings(Settings.ofFront, SettingInputs(warmUpFlags, persistentMapOf()))
        return if (values.errors.isEmpty()) warmUp(values) else reportBadInput(values.errors)
    }

    private fun warmUp(values: SettingValues): Int {
        val settings = values.toFrontSettings(seed = 1)
        val socket = ListeningSocket.open(settings.callers.host, settings.callers.port)
        ChartCatalog.loadForOpenRoutes()
        ignoreHangupSignal("front")
        val instance = FrontInstance(settings, MonotonicClock(), socket)
        instance.start()
        instance.warmUp(WARM_UP_CALLS, WARM_UP_TIME_LIMIT)
        instance.close()
        return ExitCode.DONE
    }
}
