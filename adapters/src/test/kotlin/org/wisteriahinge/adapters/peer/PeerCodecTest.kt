package org.wisteriahinge.adapters.peer

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import java.time.Instant
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.membership.HEARTBEAT_BASE_BYTES
import org.wisteriahinge.core.membership.HEARTBEAT_ENTRY_BYTES
import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.core.membership.PeerOutcome
import org.wisteriahinge.core.membership.PeerPhase
import org.wisteriahinge.core.membership.QuarantineNotice
import org.wisteriahinge.core.membership.RetainedAnswer
import org.wisteriahinge.core.membership.RetainedBody
import org.wisteriahinge.core.membership.TargetLoad
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.OperationId
import org.wisteriahinge.core.model.OperationRef
import org.wisteriahinge.core.model.RequestDigest
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.Zone
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull

/** Guards against messages that are altered or accepted wrongly, and heartbeats over their size. */
class PeerCodecTest {
    private val codec = PeerCodec("key".encodeToByteArray())
    private val from = InstanceId("co-op-17#0123abcd")

    private fun heartbeat(loads: Int) = PeerMessage.Heartbeat(
        from = from,
        address = Address("192.0.2.117", 17_000),
        zone = Zone("south-west-4"),
        sequence = 86_400,
        phase = PeerPhase.Serving,
        revision = RevisionNumber(1_000_000),
        loads = (1..loads).map { TargetLoad(TargetId("results-lookup-$it"), 3, 3, 250) }
            .toPersistentList(),
        quarantined = persistentListOf()
    )

    private fun encode(message: PeerMessage): ByteArray =
        checkNotNull(codec.encode(message).get()) { "message exceeds the bound" }

    @Test
    fun `every kind of message is decoded as it was encoded`() {
        val notice = QuarantineNotice(
            CustomerId("c"),
            OperationRef(ServiceId("s"), OperationId("o")),
            RequestDigest("d"),
            2,
            Instant.parse("2026-01-01T00:00:00Z")
        )
        val answer = RetainedAnswer(201, "text/plain", RetainedBody("done".encodeToByteArray()))
        val messages = listOf(
            heartbeat(2),
            PeerMessage.Quarantine(from, persistentListOf(notice)),
            PeerMessage.OutcomeRequest(from, "k"),
            PeerMessage.OutcomeReply(from, "k", PeerOutcome.InProgress),
            PeerMessage.OutcomeReply(from, "k", PeerOutcome.Unknown),
            PeerMessage.OutcomeReply(from, "k", PeerOutcome.Answered(answer)),
            PeerMessage.ConfigurationRequest(from),
            PeerMessage.ConfigurationReply(from, RevisionNumber(3), 7, "a", "b")
        )
        for (message in messages) {
            expectThat(codec.decode(encode(message)).get()).isNotNull().isEqualTo(message)
        }
    }

    @Test
    fun `an encoded heartbeat is within the sizes that the heartbeat plan assumes`() {
        val base = encode(heartbeat(0)).size + Int.SIZE_BYTES
        expectThat(base).isLessThanOrEqualTo(HEARTBEAT_BASE_BYTES)
        val entries = encode(heartbeat(10)).size + Int.SIZE_BYTES - base
        expectThat(entries).isLessThanOrEqualTo(10 * HEARTBEAT_ENTRY_BYTES)
    }

    @Test
    fun `a message with a changed byte or another key is not authentic`() {
        val bytes = encode(heartbeat(1))
        val changed = bytes.copyOf().also { it[it.size - 1] = (it.last() + 1).toByte() }
        expectThat(codec.decode(changed).getError()).isEqualTo(PeerMessageFault.NotAuthentic)
        expectThat(PeerCodec("other".encodeToByteArray()).decode(bytes).getError())
            .isEqualTo(PeerMessageFault.NotAuthentic)
    }

    @Test
    fun `a message outside the size bounds is neither encoded nor decoded`() {
        val large = PeerMessage.ConfigurationReply(
            from,
            RevisionNumber(1),
            0,
            "x".repeat(MAX_PEER_MESSAGE_BYTES),
            ""
        )
        expectThat(codec.encode(large).getError()).isEqualTo(PeerMessageFault.BadSize)
        expectThat(codec.decode(ByteArray(MAX_PEER_MESSAGE_BYTES + 1)).getError())
            .isEqualTo(PeerMessageFault.BadSize)
        expectThat(codec.decode(ByteArray(3)).getError()).isEqualTo(PeerMessageFault.BadSize)
    }
}
