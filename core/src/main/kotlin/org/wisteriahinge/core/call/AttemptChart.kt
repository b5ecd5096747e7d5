package org.wisteriahinge.core.call

import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.charts.Chart
import org.wisteriahinge.charts.ChartName
import org.wisteriahinge.charts.ChartVocabulary
import org.wisteriahinge.charts.loadChartResource

/** A state of an attempt in `charts/call-attempt.yaml`. */
public sealed class AttemptState(override val chartName: String) : ChartName {
    public data object Sent : AttemptState("sent")
    public data object Delivering : AttemptState("delivering")
    public data object Complete : AttemptState("complete")
    public data object Failed : AttemptState("failed")
    public data object Cancelled : AttemptState("cancelled")
}

/** An event of an attempt in `charts/call-attempt.yaml`. */
public sealed class AttemptTrigger(override val chartName: String) : ChartName {
    public data object Answered : AttemptTrigger("answered")
    public data object Rejected : AttemptTrigger("rejected")
    public data object Failed : AttemptTrigger("failed")
    public data object Completed : AttemptTrigger("completed")
    public data object Truncated : AttemptTrigger("truncated")
    public data object Abandoned : AttemptTrigger("abandoned")
}

/** An effect of a transition in `charts/call-attempt.yaml`. */
public sealed class AttemptAction(override val chartName: String) : ChartName {
    public data object DeliverAnswer : AttemptAction("deliver_answer")
    public data object CancelOthers : AttemptAction("cancel_others")
    public data object ReleaseTarget : AttemptAction("release_target")
    public data object ConsiderRetry : AttemptAction("consider_retry")
    public data object CountTruncated : AttemptAction("count_truncated")
    public data object CancelRequest : AttemptAction("cancel_request")
    public data object FinishCall : AttemptAction("finish_call")
}

internal val attemptChart: Chart<AttemptState, AttemptTrigger, AttemptAction> by lazy {
    loadChartResource(
        "call-attempt",
        ChartVocabulary(
            states = persistentListOf(
                AttemptState.Sent,
                AttemptState.Delivering,
                AttemptState.Complete,
                AttemptState.Failed,
                AttemptState.Cancelled
            ),
            events = persistentListOf(
                AttemptTrigger.Answered,
                AttemptTrigger.Rejected,
                AttemptTrigger.Failed,
                AttemptTrigger.Completed,
                AttemptTrigger.Truncated,
                AttemptTrigger.Abandoned
            ),
            effects = persistentListOf(
                AttemptAction.DeliverAnswer,
                AttemptAction.CancelOthers,
                AttemptAction.ReleaseTarget,
                AttemptAction.ConsiderRetry,
                AttemptAction.CountTruncated,
                AttemptAction.CancelRequest,
                AttemptAction.FinishCall
            )
        )
    )
}
