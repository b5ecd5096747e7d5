package org.wisteriahinge.core.availability

import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.charts.Chart
import org.wisteriahinge.charts.ChartName
import org.wisteriahinge.charts.ChartVocabulary
import org.wisteriahinge.charts.loadChartResource

/** The states of the chart `target-availability`: which requests a target may get. */
public sealed class AvailabilityState(override val chartName: String) : ChartName {
    /** New, or back after an ejection or a drain: gets a few requests at a time. */
    public data object Cold : AvailabilityState("cold")

    public data object Warm : AvailabilityState("warm")

    /** Much slower than usual, or overloaded: gets single trial requests. */
    public data object Suspect : AvailabilityState("suspect")

    /** Fails requests: gets none until its next trial is due. */
    public data object Ejected : AvailabilityState("ejected")

    /** About to stop: gets no new requests and finishes those in flight. */
    public data object Draining : AvailabilityState("draining")

    /** No longer listed; dropped when its last request in flight ends. */
    public data object Gone : AvailabilityState("gone")
}

/** The events of the chart `target-availability`. */
public sealed class AvailabilityTrigger(override val chartName: String) : ChartName {
    public data object Warmed : AvailabilityTrigger("warmed")
    public data object Slow : AvailabilityTrigger("slow")
    public data object Recovered : AvailabilityTrigger("recovered")
    public data object Failing : AvailabilityTrigger("failing")
    public data object TrialDue : AvailabilityTrigger("trial_due")
    public data object DrainAnnounced : AvailabilityTrigger("drain_announced")
    public data object LeavingAnnounced : AvailabilityTrigger("leaving_announced")
    public data object DrainExpired : AvailabilityTrigger("drain_expired")
    public data object Removed : AvailabilityTrigger("removed")
}

/** The effects of transitions in the chart `target-availability`. */
public sealed class AvailabilityAction(override val chartName: String) : ChartName {
    public data object StartRamp : AvailabilityAction("start_ramp")
    public data object ScheduleTrial : AvailabilityAction("schedule_trial")
    public data object HoldDrain : AvailabilityAction("hold_drain")
    public data object HoldLeaving : AvailabilityAction("hold_leaving")
    public data object ClearRecord : AvailabilityAction("clear_record")
}

internal val availabilityChart:
    Chart<AvailabilityState, AvailabilityTrigger, AvailabilityAction> by lazy {
        loadChartResource(
            "target-availability",
            ChartVocabulary(
                states = persistentListOf(
                    AvailabilityState.Cold,
                    AvailabilityState.Warm,
                    AvailabilityState.Suspect,
                    AvailabilityState.Ejected,
                    AvailabilityState.Draining,
                    AvailabilityState.Gone
                ),
                events = persistentListOf(
                    AvailabilityTrigger.Warmed,
                    AvailabilityTrigger.Slow,
                    AvailabilityTrigger.Recovered,
                    AvailabilityTrigger.Failing,
                    AvailabilityTrigger.TrialDue,
                    AvailabilityTrigger.DrainAnnounced,
                    AvailabilityTrigger.LeavingAnnounced,
                    AvailabilityTrigger.DrainExpired,
                    AvailabilityTrigger.Removed
                ),
                effects = persistentListOf(
                    AvailabilityAction.StartRamp,
                    AvailabilityAction.ScheduleTrial,
                    AvailabilityAction.HoldDrain,
                    AvailabilityAction.HoldLeaving,
                    AvailabilityAction.ClearRecord
                )
            )
        )
    }
