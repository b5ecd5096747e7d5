package org.wisteriahinge.core.lifecycle

import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.charts.Chart
import org.wisteriahinge.charts.ChartName
import org.wisteriahinge.charts.ChartVocabulary
import org.wisteriahinge.charts.loadChartResource

/** The states of the chart `instance-lifecycle`. */
public sealed class LifecyclePhase(override val chartName: String) : ChartName {
    public data object Starting : LifecyclePhase("starting")
    public data object Serving : LifecyclePhase("serving")

    /** Reported as not ready; calls that still arrive are served. */
    public data object Leaving : LifecyclePhase("leaving")

    /** New calls are refused; calls in progress continue. */
    public data object Draining : LifecyclePhase("draining")
    public data object Stopped : LifecyclePhase("stopped")
}

/** The events of the chart `instance-lifecycle`. */
public sealed class LifecycleTrigger(override val chartName: String) : ChartName {
    public data object Started : LifecycleTrigger("started")
    public data object StopRequested : LifecycleTrigger("stop_requested")

    /** A stop with a handover was requested, in which callers move to other instances. */
    public data object LeaveRequested : LifecycleTrigger("leave_requested")

    /** The time for the handover elapsed. */
    public data object HandoverEnded : LifecycleTrigger("handover_ended")

    /** The last call in progress ended. */
    public data object Drained : LifecycleTrigger("drained")

    /** The drain time elapsed with calls still in progress. */
    public data object DrainExpired : LifecycleTrigger("drain_expired")
}

/** The effects of transitions in the chart `instance-lifecycle`. */
public sealed class LifecycleAction(override val chartName: String) : ChartName {
    /** Announce to the peers that this instance serves callers. */
    public data object AnnounceServing : LifecycleAction("announce_serving")
    public data object RefuseNewCalls : LifecycleAction("refuse_new_calls")

    /** Announce to the peers that this instance is leaving. */
    public data object AnnounceLeaving : LifecycleAction("announce_leaving")

    /** Count the calls that are cut off. */
    public data object CountCutOff : LifecycleAction("count_cut_off")

    /** Allow the process to close its connections and exit. */
    public data object ReleaseProcess : LifecycleAction("release_process")
}

internal val lifecycleChart: Chart<LifecyclePhase, LifecycleTrigger, LifecycleAction> by lazy {
    loadChartResource(
        "instance-lifecycle",
        ChartVocabulary(
            states = persistentListOf(
                LifecyclePhase.Starting,
                LifecyclePhase.Serving,
                LifecyclePhase.Leaving,
                LifecyclePhase.Draining,
                LifecyclePhase.Stopped
            ),
            events = persistentListOf(
                LifecycleTrigger.Started,
                LifecycleTrigger.StopRequested,
                LifecycleTrigger.LeaveRequested,
                LifecycleTrigger.HandoverEnded,
                LifecycleTrigger.Drained,
                LifecycleTrigger.DrainExpired
            ),
            effects = persistentListOf(
                LifecycleAction.AnnounceServing,
                LifecycleAction.RefuseNewCalls,
                LifecycleAction.AnnounceLeaving,
                LifecycleAction.CountCutOff,
                LifecycleAction.ReleaseProcess
            )
        )
    )
}
