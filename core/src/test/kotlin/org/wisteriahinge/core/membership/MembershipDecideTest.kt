package org.wisteriahinge.core.membership

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.core.model.Zone
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.doesNotContain
import strikt.assertions.filterIsInstance
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

/** Guards against wrong members after lost, late or reordered heartbeats, and restarts. */
class MembershipDecideTest {
    private val start = Instant.parse("2026-01-01T00:00:00Z")
    private val zone = Zone("zone-a")
    private val peerAddress = address(2)
    private val peerId = InstanceId("b#1")

    private fun address(number: Int) = Address("127.0.0.$number", 7000)

    private fun newState() = MembershipState(
        SelfIdentity("a", InstanceId("a#1"), address(1), zone),
        MembershipSettings()
    )

    private fun heartbeat(
        sequence: Long,
        id: InstanceId = peerId,
        phase: PeerPhase = PeerPhase.Serving
    ) = PeerMessage.Heartbeat(
        id,
        peerAddress,
        zone,
        sequence,
        phase,
        RevisionNumber.None,
        persistentListOf(),
        persistentListOf()
    )

    private fun MembershipState.receive(heartbeat: PeerMessage.Heartbeat, at: Instant = start) =
        decide(MembershipEvent.Heard(heartbeat), at)

    private fun listed(leaving: Boolean = false) = MembershipEvent.Listed(
        persistentListOf(ListedInstance("b", peerAddress, zone, leaving))
    )

    private fun MembershipState.stateOfPeer() = peers[peerAddress]?.state

    @Test
    fun `a peer is a member from its first heartbeat even if it is not listed`() {
        val heard = newState().receive(heartbeat(1)).state
        expectThat(heard.members().live).contains(peerId)
        val listedEmpty = heard.decide(MembershipEvent.Listed(persistentListOf()), start).state
        expectThat(listedEmpty.members().live).contains(peerId)
    }

    @Test
    fun `a silent peer turns slow after one missed heartbeat and gone after three`() {
        val heard = newState().receive(heartbeat(1)).state
        val slow = heard.decide(MembershipEvent.Ticked, start.plusMillis(1_600)).state
        expectThat(slow.stateOfPeer()).isEqualTo(PeerState.Slow)
        expectThat(slow.members().live).contains(peerId)
        val gone = slow.decide(MembershipEvent.Ticked, start.plusMillis(3_500))
        expectThat(gone.state.stateOfPeer()).isEqualTo(PeerState.Gone)
        expectThat(gone.state.members().live).doesNotContain(peerId)
        expectThat(gone.effects).contains(MembershipEffect.Count(MembershipCounter.PeerGone))
    }

    @Test
    fun `a gone peer is live again when heartbeats resume after a partition`() {
        val gone = newState().receive(heartbeat(1)).state
            .decide(MembershipEvent.Ticked, start.plusSeconds(10)).state
        val back = gone.receive(heartbeat(2), start.plusSeconds(11)).state
        expectThat(back.members().live).contains(peerId)
    }

    @Test
    fun `a repeated or reordered heartbeat changes nothing`() {
        val state = newState().receive(heartbeat(5)).state
        val late = state.receive(heartbeat(4, phase = PeerPhase.Draining), start.plusSeconds(1))
        expectThat(late.state).isEqualTo(state)
        expectThat(late.effects)
            .containsExactly(MembershipEffect.Count(MembershipCounter.StaleHeartbeat))
    }

    @Test
    fun `a restarted peer replaces its earlier process whose late drain is ignored`() {
        val restarted = newState().receive(heartbeat(9)).state
            .receive(heartbeat(1, id = InstanceId("b#2"))).state
        val afterLateDrain = restarted.receive(heartbeat(10, phase = PeerPhase.Draining)).state
        expectThat(afterLateDrain.members().live)
            .containsExactlyInAnyOrder(InstanceId("a#1"), InstanceId("b#2"))
    }

    @Test
    fun `a peer leaves when its heartbeat or the platform says so`() {
        val heard = newState().receive(heartbeat(1)).state
        val byPeer = heard.receive(heartbeat(2, phase = PeerPhase.Draining)).state
        val byPlatform = heard.decide(listed(leaving = true), start).state
        expectThat(byPeer.stateOfPeer()).isEqualTo(PeerState.Leaving)
        expectThat(byPlatform.stateOfPeer()).isEqualTo(PeerState.Leaving)
    }

    @Test
    fun `an instance that drains notifies all peers immediately`() {
        val decision = newState().decide(listed(), start).state
            .decide(MembershipEvent.PhaseChanged(PeerPhase.Draining), start)
        expectThat(decision.effects).filterIsInstance<MembershipEffect.SendHeartbeat>().hasSize(1)
        expectThat(decision.state.members().live).isEmpty()
    }

    @Test
    fun `heartbeats stay within the byte budget from 2 to 400 peers`() {
        for (peers in listOf(2, 17, 100, 400)) {
            val plan = planHeartbeats(peers, 2_000, Duration.ofSeconds(1))
            val bytes =
                plan.fanout * (HEARTBEAT_BASE_BYTES + plan.entries * HEARTBEAT_ENTRY_BYTES)
            expectThat(bytes).isLessThanOrEqualTo(2_000)
        }
    }
}
