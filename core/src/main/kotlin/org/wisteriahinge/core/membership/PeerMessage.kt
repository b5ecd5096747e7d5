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

/** A message from one instance to another. It may be lost, repeated or arrive out of order. */
public sealed interface PeerMessage {
    /** The sender. */
    public val from: InstanceId

    /**
     * Sent periodically: the sender is here, with the most useful part of what it knows.
     *
     * [address] receives peer messages, so that a peer which the instance list does not show yet
     * can be answered. [sequence] grows with each period of the sender.
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

    /** Requests that crashed servers; sent at once to all peers. */
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

    /** Asks for the configuration in force at the receiver. */
    public data class ConfigurationRequest(override val from: InstanceId) : PeerMessage

    /** The lists in force at the sender, as published. */
    public data class ConfigurationReply(
        override val from: InstanceId,
        val revision: RevisionNumber,
        val offset: Long,
        val customers: String,
        val entitlements: String
    ) : PeerMessage
}

/** The phase of an instance's life that its peers need to know. */
public sealed class PeerPhase(public val wireName: String) {
    public data object Starting : PeerPhase("starting")
    public data object Serving : PeerPhase("serving")
    public data object Draining : PeerPhase("draining")

    public companion object {
        public val all: List<PeerPhase> get() = listOf(Starting, Serving, Draining)
    }
}

/** The load of a target as the sender last saw it. [ageMillis] is its age when sent. */
public data class TargetLoad(
    val target: TargetId,
    val inFlight: Int,
    val slots: Int,
    val ageMillis: Long,
    val notice: TargetNotice = TargetNotice.None
)

/** What a load report says of a target besides its load. */
public sealed class TargetNotice(public val wireCode: Int) {
    public data object None : TargetNotice(0)

    /** The target said that it drains. */
    public data object Draining : TargetNotice(1)

    public companion object {
        public val all: List<TargetNotice> get() = listOf(None, Draining)
    }
}

/** A request that stopped [crashes] servers; refused until [until]. */
public data class QuarantineNotice(
    val customer: CustomerId,
    val operation: OperationRef,
    val digest: RequestDigest,
    val crashes: Int,
    val until: Instant
)

/** What the holder of a claim knows of its request. */
public sealed interface PeerOutcome {
    /** It is still running. */
    public data object InProgress : PeerOutcome

    /** It was sent and its outcome is unknown, or its answer is no longer kept. */
    public data object Unknown : PeerOutcome

    /** It was answered with the retained answer. */
    public data class Answered(val answer: RetainedAnswer) : PeerOutcome
}

/** An answer kept for later copies of its request. */
public data class RetainedAnswer(val status: Int, val contentType: String?, val body: RetainedBody)

/** The bytes of a retained answer; equal when the content is equal. */
public class RetainedBody(private val bytes: ByteArray) {
    /** Length in bytes. */
    public val sizeBytes: Int get() = bytes.size

    /** A copy of the bytes. */
    public fun toByteArray(): ByteArray = bytes.copyOf()

    override fun equals(other: Any?): Boolean =
        other is RetainedBody && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()
}
