package org.wisteriahinge.app.command

import java.time.Duration
import kotlinx.cli.ExperimentalCli
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.app.ExitCode
import org.wisteriahinge.app.FrontInstance
import org.wisteriahinge.app.FrontSettings
import org.wisteriahinge.app.PlatformAccess
import org.wisteriahinge.app.RepeatBounds
import org.wisteriahinge.core.ChartCatalog
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.runtime.SteadyClock

private const val CALLS = 300
private val LIMIT: Duration = Duration.ofSeconds(20)

/** Nothing listens there; the instance of the warm-up then reads no configuration. */
private val NO_STORE = Address("127.0.0.1", 9)
private val ANY_PORT = Address("127.0.0.1", 0)

@OptIn(ExperimentalCli::class)
internal class WarmUpCommand(context: CommandContext) :
    Command(
        "warm-up",
        "Load the code of 'front' once, to record a class archive at build",
        context
    ) {
    override fun run(): Int {
        ChartCatalog.loadAll()
        val instance = FrontInstance(frontSettings(), SteadyClock())
        instance.start()
        instance.warmUp(CALLS, LIMIT)
        instance.close()
        return ExitCode.DONE
    }

    private fun frontSettings() = FrontSettings(
        name = "warm-up",
        zone = Zone("warm-up"),
        callers = ANY_PORT,
        ready = ANY_PORT,
        platform = PlatformAccess(NO_STORE, relays = persistentListOf(NO_STORE)),
        grace = Duration.ofSeconds(1),
        repeats = RepeatBounds(ratio = 0.0, window = Duration.ofSeconds(10)),
        defaultTimeout = Duration.ofSeconds(10),
        maxTimeout = Duration.ofSeconds(60),
        bodyMemoryBytes = 1_048_576,
        seed = 1
    )
}
