package org.wisteriahinge.runtime

import java.time.Clock
import java.time.Duration
import java.time.Instant
import java.time.ZoneOffset
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallRequest
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.call.EarlyCallPolicy
import org.wisteriahinge.core.call.HeldCalls
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.core.routing.RoutingPolicy
import org.wisteriahinge.core.routing.RoutingState
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a caller that waits for its deadline because the decision on its call failed. */
class CallsDutyTest {
    private val now = Instant.parse("2026-01-01T00:00:00Z")

    /** The end of this wait is out of the range of an instant, so that the decision fails. */
    private val impossibleWait = Duration.ofSeconds(Long.MAX_VALUE)

    private val request = CallRequest(
        callId = CallId(1),
        credential = null,
        method = "GET",
        path = "/",
        idempotencyKey = null,
        digest = null,
        deadline = now.plusSeconds(10),
        depth = 0,
        retriesAllowed = true,
        bodyBytes = 0,
        replayable = true,
        host = "h",
        arrivedAt = now,
        callerRequestId = null
    )

    @Test
    fun `a call whose decision fails is refused as not run`() {
        val ring = Ring<CallMessage>("calls", 16, reserved = 8)
        val state = CallsState(
            Configuration.Empty,
            RoutingState(RoutingPolicy.RoundRobin, Zone("a"), seed = 1),
            held = HeldCalls(EarlyCallPolicy.Held(impossibleWait))
        )
        val answer = CompletableFuture<CallEffect>()
        val duty = CallsDuty(ring, state, { }, Clock.fixed(now, ZoneOffset.UTC))
        ring.offer(CallMessage(CallEvent.Arrived(request)) { answer.complete(it) })
        duty.start()
        val refused = answer.get(10, TimeUnit.SECONDS) as CallEffect.Refuse
        expectThat(refused.refusal.execution).isEqualTo(Execution.NotRun)
        duty.stop(Duration.ofSeconds(1))
    }
}
