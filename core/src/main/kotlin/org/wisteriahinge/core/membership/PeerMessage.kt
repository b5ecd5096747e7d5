package org.wisteriahinge.core.membership

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.OperationRef
import org.wisteriahinge.core.model.RequestDigest
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.Zone

/** A message between instances. It may be lost, duplicated or reordered. */
public sealed interface PeerMessage {
    /** The sender. */
    public val from: InstanceId

    /**
     * Sent periodically to show that the sender is live, with the loads and notices that fit.
     *
     * [address] is where the sender receives peer messages, so that it can be answered before it
     * is in the instance list. [sequence] increases with each heartbeat of the sender.
     */
    public data class Heartbeat(
        override val from: InstanceId,
        val address: Address,
        val zone: Zone,
        val sequence: Long,
        val phase: PeerPhase,
        val revision: RevisionNumber,
        val loads: PersistentList<TargetLoad>,
        val quarantined: PersistentList<QuarantineNotice>
    ) : PeerMessage

    /** Requests that crashed servers; sent to all peers without waiting for a heartbeat. */
    public data class Quarantine(
        override val from: InstanceId,
        val notices: PersistentList<QuarantineNotice>
    ) : PeerMessage

    /** Asks the holder of a claim for the outcome of its request. */
    public data class OutcomeRequest(override val from: InstanceId, val keyDigest: String) :
        PeerMessage

    /** Answers an [OutcomeRequest]. */
    public data class OutcomeReply(
        override val from: InstanceId,
        val keyDigest: String,
        val outcome: PeerOutcome
    ) : PeerMessage

    /** Asks for the configuration that is in force at the receiver. */
    public data class ConfigurationRequest(override val from: InstanceId) : PeerMessage

    /** The published lists that are in force at the sender. */
    public data class ConfigurationReply(
        override val from: InstanceId,
        val revision: RevisionNumber,
        val offset: Long,
        val customers: String,
        val entitlements: String
    ) : PeerMessage
}

/** The lifecycle phase of an instance as far as its peers need it. */
public sealed class PeerPhase(public val wireName: String) {
    public data object Starting : PeerPhase("starting")
    public data object Serving : PeerPhase("serving")
    public data object Draining : PeerPhase("draining")

    public companion object {
        public val all: List<PeerPhase> get() = listOf(Starting, Serving, Draining)
    }
}

/** The load of a target as last known to the sender. [ageMillis] is its age when sent. */
public data class TargetLoad(
    val target: TargetId,
    val inFlight: Int,
    val slots: Int,
    val ageMillis: Long,
    val notice: TargetNotice = TargetNotice.None
)

/** A state of a target that is announced together with its load. */
public sealed class TargetNotice(public val wireCode: Int) {
    public data object None : TargetNotice(0)

    /** The target announced that it drains. */
    public data object Draining : TargetNotice(1)

    public companion object {
        public val all: List<TargetNotice> get() = listOf(None, Draining)
    }
}

/** A request that crashed [crashes] servers and is refused until [until]. */
public data class QuarantineNotice(
    val customer: CustomerId,
    val operation: OperationRef,
    val digest: RequestDigest,
    val crashes: Int,
    val until: Instant
)

/** The outcome of a request, as known to the holder of its claim. */
public sealed interface PeerOutcome {
    /** The request is still running. */
    public data object InProgress : PeerOutcome

    /** The request was sent and its outcome is unknown, or its answer is no longer retained. */
    public data object Unknown : PeerOutcome

    /** The request was answered with [answer]. */
    public data class Answered(val answer: RetainedAnswer) : PeerOutcome
}

/** An answer that is retained for repetitions of its request. */
public data class RetainedAnswer(val status: Int, val contentType: String?, val body: RetainedBody)

/** The body of a retained answer, compared by content. */
public class RetainedBody(private val bytes: ByteArray) {
    /** Length in bytes. */
    public val sizeBytes: Int get() = bytes.size

    /** A copy of the bytes. */
    public fun toByteArray(): ByteArray = bytes.copyOf()

    override fun equals(other: Any?): Boolean =
        other is RetainedBody && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()
}
