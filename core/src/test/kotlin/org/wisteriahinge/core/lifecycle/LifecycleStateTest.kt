package org.wisteriahinge.core.lifecycle

import java.time.Duration
import java.time.Instant
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.configuration.ConfigurationStanding
import org.wisteriahinge.core.configuration.ConfigurationStatus
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Guards against a stop that cuts off calls too early, or that never completes. */
class LifecycleStateTest {
    private val start = Instant.parse("2026-01-01T00:00:00Z")
    private val serving = LifecycleState(Duration.ofSeconds(20))
        .decide(LifecycleEvent.Started, start).state

    @Test
    fun `a stop refuses new calls and waits for those in progress`() {
        val stop = serving.decide(LifecycleEvent.StopRequested, start)
        expectThat(stop.actions).containsExactly(
            LifecycleAction.RefuseNewCalls,
            LifecycleAction.AnnounceLeaving
        )
        val waiting = stop.state.decide(LifecycleEvent.CallsCounted(1), start.plusSeconds(19))
        expectThat(waiting.actions).isEmpty()
        expectThat(waiting.state.decide(LifecycleEvent.CallsCounted(0), start).actions)
            .containsExactly(LifecycleAction.ReleaseProcess)
    }

    @Test
    fun `the drain time bounds a stop, and a second request does not extend it`() {
        val stop = serving.decide(LifecycleEvent.StopRequested, start).state
            .decide(LifecycleEvent.StopRequested, start.plusSeconds(10)).state
        val expired = stop.decide(LifecycleEvent.CallsCounted(1), start.plusSeconds(20))
        expectThat(expired.actions)
            .containsExactly(LifecycleAction.CountCutOff, LifecycleAction.ReleaseProcess)
        expectThat(expired.state.phase).isEqualTo(LifecyclePhase.Stopped)
    }

    @Test
    fun `an instance without calls keeps serving`() {
        expectThat(serving.decide(LifecycleEvent.CallsCounted(0), start).state).isEqualTo(serving)
    }

    @Test
    fun `readiness needs the serving phase and a configuration`() {
        val held = ConfigurationStatus(standing = ConfigurationStanding.Unconfirmed)
        expectThat(Readiness.of(LifecyclePhase.Serving, held)).isEqualTo(Readiness.Ready)
        expectThat(Readiness.of(LifecyclePhase.Serving, ConfigurationStatus()))
            .isEqualTo(Readiness.NoConfiguration)
        expectThat(Readiness.of(LifecyclePhase.Starting, held)).isEqualTo(Readiness.Starting)
        expectThat(Readiness.of(LifecyclePhase.Draining, held)).isEqualTo(Readiness.Draining)
    }
}
