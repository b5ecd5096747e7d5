package org.wisteriahinge.bench.fuzz

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.call.Attempt
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.limits.LimitsEvent
import org.wisteriahinge.core.limits.ShareBatch
import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.once.ClaimBatch
import org.wisteriahinge.core.once.OnceEvent

/** A call at an instance: one copy of a request. */
internal data class CopyRef(val instance: InstanceId, val callId: CallId)

/** An attempt on its way to a target or back. */
internal data class AttemptRef(val copy: CopyRef, val attempt: Attempt)

/** What an attempt brings back to its instance. */
internal sealed interface AttemptEnd {
    data class Answer(val body: String) : AttemptEnd
    data class Failure(val failure: AttemptFailure) : AttemptEnd
}

/** Something that is due at a point of virtual time. */
internal sealed interface Delivery {
    /** Handled by an instance; waits while it is paused and is dropped when it has crashed. */
    sealed interface ForNode : Delivery {
        val node: InstanceId
    }

    data class Calls(override val node: InstanceId, val event: CallEvent) : ForNode

    data class Once(override val node: InstanceId, val event: OnceEvent) : ForNode

    data class Limits(override val node: InstanceId, val event: LimitsEvent) : ForNode

    data class Peer(override val node: InstanceId, val message: PeerMessage) : ForNode

    data class Tick(override val node: InstanceId) : ForNode

    data class Bounds(override val node: InstanceId) : ForNode

    data class Poll(override val node: InstanceId) : ForNode

    data class Transmit(override val node: InstanceId, val ref: AttemptRef) : ForNode

    data class AttemptEnded(
        override val node: InstanceId,
        val ref: AttemptRef,
        val end: AttemptEnd
    ) : ForNode

    data class AppendArrives(val from: InstanceId, val batch: ClaimBatch, val answered: Boolean) :
        Delivery

    data class SharesArrive(val from: InstanceId, val batch: ShareBatch, val answered: Boolean) :
        Delivery

    data class RequestArrives(val ref: AttemptRef) : Delivery

    data class RunEnds(val ref: AttemptRef) : Delivery
}

internal data class Scheduled(val at: Instant, val sequence: Long, val delivery: Delivery)

/** Deliveries by time, then in the order of their scheduling. */
internal data class Agenda(
    val entries: PersistentList<Scheduled> = persistentListOf(),
    val lastSequence: Long = 0
) {
    fun add(at: Instant, delivery: Delivery): Agenda {
        val entry = Scheduled(at, lastSequence + 1, delivery)
        val found = entries.binarySearch { order(it, entry) }
        return copy(entries = entries.add(-found - 1, entry), lastSequence = entry.sequence)
    }

    fun withoutFirst(): Agenda = copy(entries = entries.removeAt(0))

    private fun order(a: Scheduled, b: Scheduled): Int =
        compareValuesBy(a, b, Scheduled::at, Scheduled::sequence)
}
