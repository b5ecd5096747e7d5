package org.wisteriahinge.core.lifecycle

import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.charts.Chart
import org.wisteriahinge.charts.ChartName
import org.wisteriahinge.charts.ChartVocabulary
import org.wisteriahinge.charts.loadChartResource

/** The life of this instance, as in `charts/instance-lifecycle.yaml`. */
public sealed class LifecyclePhase(override val chartName: String) : ChartName {
    public data object Starting : LifecyclePhase("starting")
    public data object Serving : LifecyclePhase("serving")

    /** Not ready any more; calls that still arrive are served. */
    public data object Leaving : LifecyclePhase("leaving")

    /** New calls are refused; calls in progress go on. */
    public data object Draining : LifecyclePhase("draining")
    public data object Stopped : LifecyclePhase("stopped")
}

/** What can happen to the instance. */
public sealed class LifecycleTrigger(override val chartName: String) : ChartName {
    public data object Started : LifecycleTrigger("started")
    public data object StopRequested : LifecycleTrigger("stop_requested")

    /** A stop was requested that first lets callers be sent elsewhere. */
    public data object LeaveRequested : LifecycleTrigger("leave_requested")

    /** Callers had the time to be sent elsewhere. */
    public data object HandoverEnded : LifecycleTrigger("handover_ended")

    /** The last call in progress ended. */
    public data object Drained : LifecycleTrigger("drained")

    /** The drain time is over and calls are still in progress. */
    public data object DrainExpired : LifecycleTrigger("drain_expired")
}

/** What a transition of the instance asks for. */
public sealed class LifecycleAction(override val chartName: String) : ChartName {
    /** Tell the peers that this instance serves callers. */
    public data object AnnounceServing : LifecycleAction("announce_serving")
    public data object RefuseNewCalls : LifecycleAction("refuse_new_calls")

    /** Tell the peers that this instance is leaving. */
    public data object AnnounceLeaving : LifecycleAction("announce_leaving")
    public data object CountCutOff : LifecycleAction("count_cut_off")

    /** Let the process close its connections and exit. */
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
