package org.wisteriahinge.core.call

import java.time.Instant
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.routing.collectNews
import org.wisteriahinge.core.routing.dueProbes

/** Sends the probes that are due. */
internal fun CallsState.probe(now: Instant): CallsDecision {
    val due = routing.dueProbes(now)
    return due.targets.fold(CallsDecision(copy(routing = due.routing))) { decision, target ->
        val service = due.routing.targets.getValue(target.id).service
        decision
            .emit(CallEffect.Probe(target))
            .emit(CallEffect.Count(CallCounter.ProbeSent(service)))
    }
}

/** Gives the peers what this instance knows of draining and failing targets. */
internal fun CallsState.tellPeers(now: Instant): CallsDecision {
    val news = routing.collectNews(now)
    val next = CallsDecision(copy(routing = news.routing))
    return news.loads?.let { next.emit(CallEffect.TellLoads(it)) } ?: next
}

/** A failed probe is only counted: health endpoints mislead, and requests show what is true. */
internal fun CallsState.probeFailed(target: TargetId): CallsDecision {
    val view = routing.targets[target] ?: return CallsDecision(this)
    return CallsDecision(this).emit(CallEffect.Count(CallCounter.ProbeFailed(view.service)))
}
