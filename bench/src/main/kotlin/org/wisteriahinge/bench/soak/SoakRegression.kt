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

/** A [plan] of faults that once revealed a defect, described by [cause]. */
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
    )
)

private fun hangUps(): List<PlannedFault> = List(HANG_UPS) {
    PlannedFault(RESTART_AT.plusMillis((it + 1) * HANG_UP_GAP_MILLIS), SoakFault.HangUp(0))
}
