package org.wisteriahinge.bench.policy

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** 20 targets in 4 zones at 70% load with mixed service times. */
internal val STEADY = Scenario(name = "steady")

/**
 * Two targets become 10 times slower; one of them recovers. They queue as many requests as they
 * accept connections, so that early refusals do not hide how many requests a policy sends there.
 */
internal val SLOW_TARGET = Scenario(
    name = "slow-target",
    queueLimit = 250,
    changes = persistentListOf(
        TimedChange(3_000, 3, TargetChange.Speed(0.1)),
        TimedChange(3_000, 10, TargetChange.Speed(0.1)),
        TimedChange(6_000, 10, TargetChange.Speed(1.0))
    )
)

/** Noisy neighbours change the speed of every target independently. */
internal val SHIFTING_LOAD = Scenario(name = "shifting-load", noise = SpeedNoise(0.4, 1.6))

/** Three targets answer errors in a tenth of the time. */
internal val FAIL_FAST = Scenario(
    name = "fail-fast",
    changes = listOf(2, 9, 16)
        .map { TimedChange(3_000, it, TargetChange.FailFast(true)) }
        .toPersistentList()
)

/** Targets drain, each announced by one source only, and stop five seconds later. */
internal val LEAVING = Scenario(
    name = "leaving",
    durationMillis = 16_000,
    changes = listOf(
        2 to Announcement.Refusing,
        7 to Announcement.Reported,
        9 to Announcement.Unlisted,
        12 to Announcement.Reported
    ).flatMapIndexed { index, (target, announcement) ->
        val from = 3_000L + 500 * index
        listOf(
            TimedChange(from, target, TargetChange.Drain(announcement)),
            TimedChange(from + 5_000, target, TargetChange.Crash(downMillis = 60_000))
        )
    }.toPersistentList(),
    extraFields = {
        mapOf(
            "started_after_3s" to it.startedAfterBound.toDouble(),
            "cut_off" to it.cutOff.toDouble()
        )
    }
)

private fun probeCost(name: String, instances: Int) = Scenario(
    name = name,
    instances = instances,
    durationMillis = 6_000,
    extraFields = { mapOf("probe_load_ratio_max_1s" to it.probeLoadRatioMaxSecond()) }
)

/** Every scenario by the order of the design page. */
internal val SCENARIOS: PersistentList<Scenario> = persistentListOf(
    STEADY,
    SLOW_TARGET,
    SHIFTING_LOAD,
    FAIL_FAST,
    CREST,
    LONG_SHORT,
    POISON,
    probeCost("probe-cost", instances = 18),
    probeCost("probe-cost-100", instances = 100),
    probeCost("probe-cost-400", instances = 400),
    LEAVING
)
