package org.wisteriahinge.core.quarantine

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.call.Attempt
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.call.CallCounter
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallFixture
import org.wisteriahinge.core.call.CallPlayer
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.retry.RetryDenial
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.single

class QuarantineTest {
    private val player = CallPlayer(CallFixture.state())

    private fun crashing(id: Long) = CallFixture.request(
        id,
        digest = "crasher",
        timeout = Duration.ofMinutes(5),
        arrivedAt = player.now
    )

    private fun CallPlayer.crashUntilRefused(id: Long): Int {
        var crashes = 0
        var attempt: Attempt? = arrive(crashing(id)).forwarded.singleOrNull()
        while (attempt != null) {
            crashes += 1
            attempt = fail(id, attempt, AttemptFailure.Disconnected).forwarded.singleOrNull()
        }
        return crashes
    }

    private fun reports(player: CallPlayer) =
        player.effects.filterIsInstance<CallEffect.ReportQuarantine>().flatMap { it.notices }

    /** Guards against one request stopping every server. */
    @Test
    fun `a request that crashed three servers is refused as not run`() {
        val crashes = player.crashUntilRefused(1)
        expectThat(crashes).isLessThanOrEqualTo(3)
        player.arrive(crashing(2))
        expectThat(player.refusals).single().and {
            get { reason }.isEqualTo(RefusalReason.Quarantined)
            get { execution }.isEqualTo(Execution.NotRun)
        }
    }

    /** Guards against the same request crashing further servers through other instances. */
    @Test
    fun `reports of peers count towards the same bound`() {
        val peer = CallPlayer(CallFixture.state())
        player.arrive(crashing(1)).let { it.fail(1, it.forwarded.single(), CRASH) }
        peer.play(CallEvent.QuarantineReported(InstanceId("a"), reports(player).toNotices()))
        expectThat(peer.arrive(crashing(1)).refusals).single()
            .get { reason }.isEqualTo(RefusalReason.Quarantined)
        peer.now += Duration.ofSeconds(3)
        expectThat(peer.crashUntilRefused(2)).isEqualTo(2)
    }

    /** Guards against counting one crash twice when its notice is repeated by heartbeats. */
    @Test
    fun `a repeated notice adds nothing`() {
        player.arrive(crashing(1)).let { it.fail(1, it.forwarded.single(), CRASH) }
        val notices = reports(player).toNotices()
        val peer = CallPlayer(CallFixture.state())
        repeat(5) { peer.play(CallEvent.QuarantineReported(InstanceId("a"), notices)) }
        expectThat(peer.state.quarantine.suspects.values.single().crashes).isEqualTo(1)
    }

    /** Guards against punishing a request whose server failed for another reason. */
    @Test
    fun `an answer clears the suspicion here and at peers`() {
        val first = player.arrive(crashing(1)).forwarded.single()
        val second = player.fail(1, first, CRASH).forwarded.single()
        val suspected = reports(player).toNotices()
        player.answer(1, second).complete(1, second)
        val cleared = reports(player).toNotices()
        val peer = CallPlayer(CallFixture.state())
        peer.play(CallEvent.QuarantineReported(InstanceId("a"), suspected))
        peer.play(CallEvent.QuarantineReported(InstanceId("a"), cleared))
        expectThat(player.state.quarantine.suspects).isEmpty()
        expectThat(peer.arrive(crashing(1)).forwarded).hasSize(1)
    }

    /** Guards against the same suspected request running at two targets at once. */
    @Test
    fun `a suspected request runs once at a time`() {
        val first = player.arrive(crashing(1)).forwarded.single()
        player.fail(1, first, CRASH)
        player.arrive(crashing(2))
        expectThat(player.refusals).single()
            .get { reason }.isEqualTo(RefusalReason.Quarantined)
    }

    /** Guards against one customer's bad request being held against another's. */
    @Test
    fun `another customer with the same content is served`() {
        player.crashUntilRefused(1)
        val other = CallFixture.request(2, customer = "large", digest = "crasher")
        expectThat(player.arrive(other).forwarded).hasSize(1)
    }

    /** Guards against a quarantine that never ends. */
    @Test
    fun `the quarantine ends after its time`() {
        player.crashUntilRefused(1)
        player.now += QuarantineSettings().quarantine + Duration.ofSeconds(1)
        expectThat(player.arrive(crashing(2)).forwarded).hasSize(1)
        player.play(CallEvent.Ticked)
        expectThat(player.state.quarantine.suspects).isEmpty()
    }

    /** Guards against new instances that missed the reports. */
    @Test
    fun `heartbeats carry quarantined requests`() {
        player.crashUntilRefused(1)
        player.play(CallEvent.Ticked)
        val summary = player.effects.filterIsInstance<CallEffect.SummarizeQuarantine>().single()
        val fresh = CallPlayer(CallFixture.state())
        fresh.play(CallEvent.QuarantineReported(InstanceId("a"), summary.notices))
        expectThat(fresh.arrive(crashing(1)).refusals).hasSize(1)
    }

    /** Guards against unbounded memory and messages when a whole zone breaks off. */
    @Test
    fun `suspects and reports are bounded`() {
        val settings = QuarantineSettings()
        val sent = (1L..settings.maxSuspects + 100L).sumOf { id ->
            val first = player.arrive(CallFixture.request(id)).forwarded.single()
            player.fail(id, first, CRASH)
            reports(player).size.also { player.play(CallEvent.CallerGone(CallId(id))) }
        }
        expectThat(player.state.quarantine.suspects.size)
            .isLessThanOrEqualTo(settings.maxSuspects)
        expectThat(sent).isLessThanOrEqualTo(settings.maxReportsPerSecond)
    }

    /** Guards against a peer whose clock or message would block a request for good. */
    @Test
    fun `a notice cannot quarantine for longer than the full time`() {
        player.arrive(crashing(1))
        val key = player.state.calls.values.single().suspectKey
        val notice = key.notice(crashes = 3, Instant.MAX)
        val peer = CallPlayer(CallFixture.state())
        peer.play(CallEvent.QuarantineReported(InstanceId("a"), persistentListOf(notice)))
        peer.now += QuarantineSettings().quarantine + Duration.ofSeconds(1)
        val later = crashing(1).copy(deadline = peer.now + Duration.ofSeconds(1))
        expectThat(peer.arrive(later).forwarded).hasSize(1)
    }

    /** Guards against a further attempt of a request that reached the bound. */
    @Test
    fun `the last crash denies the retry with its own reason`() {
        player.crashUntilRefused(1)
        expectThat(player.counters.filterIsInstance<CallCounter.RetryDenied>().map { it.denial })
            .contains(RetryDenial.AttemptsUsedUp)
    }

    private companion object {
        val CRASH = AttemptFailure.Disconnected
    }
}

private fun <T> List<T>.toNotices() = persistentListOf<T>().addAll(this)
