package org.wisteriahinge.bench.capacity

import com.github.michaelbull.result.getOrThrow
import java.time.Instant
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.adapters.peer.PeerCodec
import org.wisteriahinge.core.membership.MembershipEvent
import org.wisteriahinge.core.membership.MembershipSettings
import org.wisteriahinge.core.membership.MembershipState
import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.core.membership.PeerPhase
import org.wisteriahinge.core.membership.SelfIdentity
import org.wisteriahinge.core.membership.TargetLoad
import org.wisteriahinge.core.membership.decide
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.Zone

private const val EVENTS = 2_000
private const val PORT = 7_000
private val START = Instant.parse("2026-01-01T00:00:00Z")
private val INSTANCE_COUNTS = persistentListOf(18, 100, 400, 1_000)
private val ENTRY_COUNTS = persistentListOf(0, 4, 20)

internal fun peerSlopes(): List<Slope> = listOf(
    measureSlope("heartbeat heard", "instances", INSTANCE_COUNTS) { instances ->
        val state = membership(instances)
        Measured(state, EVENTS) { hearAll(state, instances) }
    },
    measureSlope("heartbeat period", "instances", INSTANCE_COUNTS) { instances ->
        val state = membership(instances)
        Measured(state, EVENTS / 10) { tick(state) }
    },
    measureSlope("heartbeat encoded and decoded", "target loads", ENTRY_COUNTS) { entries ->
        val codec = PeerCodec(ByteArray(32))
        val message = heartbeat(1, 1, entries)
        val encoded = codec.encode(message).getOrThrow { IllegalStateException(it.wireName) }
        Measured(encoded, EVENTS) {
            repeat(EVENTS) {
                val bytes = codec.encode(message).getOrThrow { IllegalStateException(it.wireName) }
                codec.decode(bytes).getOrThrow { IllegalStateException(it.wireName) }
            }
        }
    }
)

private fun membership(instances: Int): MembershipState {
    val self = SelfIdentity("a", InstanceId("a#0"), Address("10.255.0.1", PORT), Zone("zone-0"))
    return (1 until instances).fold(MembershipState(self, MembershipSettings())) { state, index ->
        state.decide(MembershipEvent.Heard(heartbeat(index, 1, entries = 0)), START).state
    }
}

private fun hearAll(start: MembershipState, instances: Int) {
    var state = start
    for (event in 1..EVENTS) {
        val from = 1 + event % (instances - 1)
        val heard = MembershipEvent.Heard(heartbeat(from, event + 1L, entries = 0))
        state = state.decide(heard, START).state
    }
}

private fun tick(start: MembershipState) {
    var state = start
    repeat(EVENTS / 10) { state = state.decide(MembershipEvent.Ticked, START).state }
}

private fun heartbeat(index: Int, sequence: Long, entries: Int) = PeerMessage.Heartbeat(
    from = InstanceId("instance-$index#0123abcd"),
    address = Address("10.${index / 256}.${index % 256}.1", PORT),
    zone = Zone("south-west-4"),
    sequence = sequence,
    phase = PeerPhase.Serving,
    revision = RevisionNumber(1_000_000),
    loads = List(entries) { TargetLoad(TargetId("results-lookup-$it"), 3, 3, 250) }
        .toPersistentList(),
    quarantined = persistentListOf()
)
