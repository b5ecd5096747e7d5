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

/** Guards against a starting instance that refuses early calls or holds them for too long. */
class HeldCallsTest {
    private val wait = Duration.ofMillis(400)

    private fun starting() = CallsHarness(
        CallsState(
            Configuration.Empty,
            RoutingState(RoutingPolicy.LeastExpectedTime(), Zone("a"), seed = 1),
            held = HeldCalls(EarlyCallPolicy.Held(wait))
        )
    )

    private fun CallsHarness.configure() = handle(CallEvent.Configured(configuration()))

    private fun CallsHarness.list() = handle(CallEvent.TargetsListed(listing(3)))

    private fun CallsHarness.sentFor(): List<Long> =
        effects.filterIsInstance<CallEffect.Forward>().map { it.callId.value }

    @Test
    fun `held calls are forwarded once the configuration and the targets are known`() {
        val harness = starting().arriveOpen(request(1)).arriveOpen(request(2))
        expectThat(harness.effects).isEmpty()
        expectThat(harness.configure().effects).isEmpty()
        expectThat(harness.list().sentFor()).containsExactly(1, 2)
        expectThat(harness.arriveOpen(request(3)).sentFor()).containsExactly(3)
    }

    @Test
    fun `calls stay held while the list of targets is empty`() {
        val harness = starting().configure().arriveOpen(request(1))
        harness.handle(CallEvent.TargetsListed(ListedTargets(persistentHashMapOf())))
        expectThat(harness.effects).isEmpty()
        expectThat(harness.list().sentFor()).containsExactly(1)
    }

    @Test
    fun `a held call is refused as not run when its maximum wait is over`() {
        val harness = starting().arriveOpen(request(1))
        expectThat(harness.state.tickDueAt(start)).isEqualTo(start + wait)
        harness.now = start + wait
        val refusal = harness.handle(CallEvent.Ticked).refusals.single()
        expectThat(refusal.reason).isEqualTo(RefusalReason.NotReady)
        expectThat(refusal.execution).isEqualTo(Execution.NotRun)
        expectThat(harness.configure().list().effects).isEmpty()
    }

    @Test
    fun `a held call whose caller left is not forwarded`() {
        val harness = starting().arriveOpen(request(1)).handle(CallEvent.CallerGone(CallId(1)))
        expectThat(harness.effects.filterIsInstance<CallEffect.Finished>()).hasSize(1)
        expectThat(harness.configure().list().effects).isEmpty()
    }

    @Test
    fun `the number of held calls is bounded`() {
        val harness = starting()
        (1L..256L).forEach { harness.arriveOpen(request(it)) }
        val refusal = harness.arriveOpen(request(257)).refusals.single()
        expectThat(refusal.reason).isEqualTo(RefusalReason.NotReady)
    }
}
