package org.wisteriahinge.core.handover

import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.charts.Chart
import org.wisteriahinge.charts.ChartName
import org.wisteriahinge.charts.ChartVocabulary
import org.wisteriahinge.charts.loadChartResource

/** The states of the chart `service-path`: whether this instance can reach the targets. */
public sealed class PathState(override val chartName: String) : ChartName {
    public data object Reachable : PathState("reachable")

    /** Some targets do not answer, and no other one has answered since. */
    public data object Doubtful : PathState("doubtful")

    /** No target can be reached from this instance; other instances may reach them. */
    public data object Unreachable : PathState("unreachable")
}

/** The events of the chart `service-path`. */
public sealed class PathTrigger(override val chartName: String) : ChartName {
    public data object Answered : PathTrigger("answered")
    public data object Unanswered : PathTrigger("unanswered")
    public data object Lost : PathTrigger("lost")
    public data object TrialDue : PathTrigger("trial_due")
}

/** The effects of transitions in the chart `service-path`. */
public sealed class PathAction(override val chartName: String) : ChartName {
    public data object RecordDoubt : PathAction("record_doubt")
    public data object ClearEvidence : PathAction("clear_evidence")
    public data object ScheduleTrial : PathAction("schedule_trial")
    public data object ProbeTargets : PathAction("probe_targets")
    public data object RestoreTargets : PathAction("restore_targets")
}

internal val servicePathChart: Chart<PathState, PathTrigger, PathAction> by lazy {
    loadChartResource(
        "service-path",
        ChartVocabulary(
            states = persistentListOf(
                PathState.Reachable,
                PathState.Doubtful,
                PathState.Unreachable
            ),
            events = persistentListOf(
                PathTrigger.Answered,
                PathTrigger.Unanswered,
                PathTrigger.Lost,
                PathTrigger.TrialDue
            ),
            effects = persistentListOf(
                PathAction.RecordDoubt,
                PathAction.ClearEvidence,
                PathAction.ScheduleTrial,
                PathAction.ProbeTargets,
                PathAction.RestoreTargets
            )
        )
    )
}
