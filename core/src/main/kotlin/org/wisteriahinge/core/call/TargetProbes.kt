package org.wisteriahinge.core.call

import java.time.Instant
import org.wisteriahinge.core.model.Target
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.routing.collectPeerLoads
import org.wisteriahinge.core.routing.dueProbes

/** Sends the probes that are due. */
internal fun CallsState.sendDueProbes(now: Instant): CallsDecision {
    val due = routing.dueProbes(now)
    return due.targets.fold(CallsDecision(copy(routing = due.routing))) { decision, target ->
        decision.then { it.sendProbe(target) }
    }
}

/** Sends a load probe to [target], unless its service has no path for probes. */
internal fun CallsState.sendProbe(target: Target): CallsDecision {
    val service = routing.targets[target.id]?.service ?: return CallsDecision(this)
    val path = configuration.entitlements.services[service]?.probePath
        ?: return CallsDecision(this)
    return CallsDecision(this)
        .emit(CallEffect.Probe(target, path))
        .emit(CallEffect.Count(CallCounter.ProbeSent(service)))
}

/** Updates what the heartbeats to peers carry about draining targets, if an update is due. */
internal fun CallsState.publishLoads(now: Instant): CallsDecision {
    val news = routing.collectPeerLoads(now)
    val next = CallsDecision(copy(routing = news.routing))
    return news.loads?.let { next.emit(CallEffect.PublishLoads(it)) } ?: next
}

/** Only counts a failed probe: health endpoints can mislead, while requests show the true state. */
internal fun CallsState.probeFailed(target: TargetId): CallsDecision {
    val view = routing.targets[target] ?: return CallsDecision(this)
    return CallsDecision(this).emit(CallEffect.Count(CallCounter.ProbeFailed(view.service)))
}
