package org.wisteriahinge.core.call

import java.time.Duration
import kotlinx.collections.immutable.persistentHashMapOf
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.call.OpenRoutesFixture.arriveOpen
import org.wisteriahinge.core.call.OpenRoutesFixture.configuration
import org.wisteriahinge.core.call.OpenRoutesFixture.listing
import org.wisteriahinge.core.call.OpenRoutesFixture.request
import org.wisteriahinge.core.call.OpenRoutesFixture.start
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.ListedTargets
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.core.routing.RoutingPolicy
import org.wisteriahinge.core.routing.RoutingState
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Guards against callers that are turned away, or kept, by an instance that has just started. */
class HeldCallsTest {
    private val wait = Duration.ofMillis(400)

    private fun starting() = CallPlayer(
        CallsState(
            Configuration.Empty,
            RoutingState(RoutingPolicy.LeastExpectedTime(), Zone("a"), seed = 1),
            held = HeldCalls(EarlyCalls.Held(wait))
        )
    )

    private fun CallPlayer.configure() = play(CallEvent.Configured(configuration()))

    private fun CallPlayer.list() = play(CallEvent.TargetsListed(listing(3)))

    private fun CallPlayer.sentFor(): List<Long> =
        effects.filterIsInstance<CallEffect.Forward>().map { it.callId.value }

    @Test
    fun `early calls are sent on once the configuration and the targets are known`() {
        val player = starting().arriveOpen(request(1)).arriveOpen(request(2))
        expectThat(player.effects).isEmpty()
        expectThat(player.configure().effects).isEmpty()
        expectThat(player.list().sentFor()).containsExactly(1, 2)
        expectThat(player.arriveOpen(request(3)).sentFor()).containsExactly(3)
    }

    @Test
    fun `an empty list of targets keeps them waiting`() {
        val player = starting().configure().arriveOpen(request(1))
        player.play(CallEvent.TargetsListed(ListedTargets(persistentHashMapOf())))
        expectThat(player.effects).isEmpty()
        expectThat(player.list().sentFor()).containsExactly(1)
    }

    @Test
    fun `an early call is refused as not run when its wait is over`() {
        val player = starting().arriveOpen(request(1))
        expectThat(player.state.nextDueAt(start)).isEqualTo(start + wait)
        player.now = start + wait
        val refusal = player.play(CallEvent.Ticked).refusals.single()
        expectThat(refusal.reason).isEqualTo(RefusalReason.NotReady)
        expectThat(refusal.execution).isEqualTo(Execution.NotRun)
        expectThat(player.configure().list().effects).isEmpty()
    }

    @Test
    fun `an early call whose caller left is not sent`() {
        val player = starting().arriveOpen(request(1)).play(CallEvent.CallerGone(CallId(1)))
        expectThat(player.effects.filterIsInstance<CallEffect.Finished>()).hasSize(1)
        expectThat(player.configure().list().effects).isEmpty()
    }

    @Test
    fun `no more calls wait than the memory for them allows`() {
        val player = starting()
        (1L..256L).forEach { player.arriveOpen(request(it)) }
        val refusal = player.arriveOpen(request(257)).refusals.single()
        expectThat(refusal.reason).isEqualTo(RefusalReason.NotReady)
    }
}
