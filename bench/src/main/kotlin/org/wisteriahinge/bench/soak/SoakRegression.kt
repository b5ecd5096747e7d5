package org.wisteriahinge.bench.soak

import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

private const val HANG_UPS = 30
private const val HANG_UP_GAP_MILLIS = 100L
private val RESTART_AT: Duration = Duration.ofSeconds(2)

/** Instances read the list of the others every 3 s. */
private val LINKS_CUT_AT: Duration = Duration.ofSeconds(4)
private val LINK_CUT_LENGTH: Duration = Duration.ofSeconds(6)

/** The relay that the others read, and when it is disturbed. */
private const val FIRST_RELAY = 0
private const val RELAY_ROUNDS = 4
private val FIRST_ROUND_AT: Duration = Duration.ofSeconds(4)
private val ROUND_GAP: Duration = Duration.ofMillis(8_130)
private val RELAY_FAULT_LENGTH: Duration = Duration.ofMillis(3_500)
private val DRAIN_LENGTH: Duration = Duration.ofMillis(3_000)
private val relaySize = SoakSize(instances = 3, targets = 6, length = Duration.ofSeconds(36))

/**
 * A [plan] of faults of the kind that once revealed a defect, described by [cause]. The plans of
 * disturbed relays do not reveal theirs, which depends on moments that a soak does not choose.
 */
internal data class SoakRegression(
    val cause: String,
    val size: SoakSize,
    val plan: PersistentList<PlannedFault>
)

/** Known regressions. They hold plans, not seeds: a seed's plan changes with [soakPlan]. */
internal val soakRegressions = persistentListOf(
    SoakRegression(
        "a SIGHUP that came before its handler was set ended the process",
        SoakSize(instances = 2, targets = 4, length = Duration.ofSeconds(8)),
        (listOf(PlannedFault(RESTART_AT, SoakFault.Restart(0))) + hangUps()).toPersistentList()
    ),
    SoakRegression(
        "callers of an instance without links to targets were not served",
        SoakSize(instances = 2, targets = 4, length = Duration.ofSeconds(11)),
        persistentListOf(
            PlannedFault(
                LINKS_CUT_AT,
                SoakFault.InstanceLinks(0, LinkMode.Refusing, LINK_CUT_LENGTH)
            )
        )
    ),
    SoakRegression(
        "a configuration was late while the relay got no answers from the store",
        relaySize,
        relayRounds { at ->
            val cut = SoakFault.StoreLink(FIRST_RELAY, LinkMode.Blackhole, RELAY_FAULT_LENGTH)
            listOf(
                PlannedFault(at.minusMillis(300), SoakFault.NewConfiguration),
                PlannedFault(at, cut),
                PlannedFault(at.plusMillis(30), SoakFault.NewConfiguration)
            )
        }
    ),
    SoakRegression(
        "targets got requests after their drain while the relay stood still",
        relaySize,
        relayRounds { at ->
            listOf(PlannedFault(at, SoakFault.Pause(FIRST_RELAY, RELAY_FAULT_LENGTH))) +
                List(relaySize.targets / 2) {
                    val drain = SoakFault.Drain(it, DRAIN_LENGTH)
                    PlannedFault(at.plusMillis(100 + it * 700L), drain)
                }
        }
    )
)

/** The faults of [round] at several moments, which fall on different parts of the reads' period. */
private fun relayRounds(round: (Duration) -> List<PlannedFault>): PersistentList<PlannedFault> =
    (0 until RELAY_ROUNDS).flatMap { round(FIRST_ROUND_AT + ROUND_GAP.multipliedBy(it.toLong())) }
        .toPersistentList()

private fun hangUps(): List<PlannedFault> = List(HANG_UPS) {
    PlannedFault(RESTART_AT.plusMillis((it + 1) * HANG_UP_GAP_MILLIS), SoakFault.HangUp(0))
}
