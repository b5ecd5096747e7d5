package org.wisteriahinge.core.once

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.IdempotencyKey
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.RefusalReason
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

class OnceDecideTest {
    private val start = Instant.parse("2026-01-01T00:00:00Z")
    private val later = start.plusSeconds(10)
    private val fingerprint = Fingerprint("f")
    private val ready = OnceState(InstanceId("a"), OnceSettings())
        .decide(OnceEvent.BoundsRead(0, 0), start).state

    private fun key(time: Instant) = IdempotencyKey(
        "%012x".format(time.toEpochMilli()).let {
            "${it.take(8)}-${it.drop(8)}-7000-8000-000000000001"
        }
    )

    private fun OnceState.request(time: Instant, now: Instant) = decide(
        OnceEvent.Requested(CallId(1), key(time), fingerprint, now.plusSeconds(60)),
        now
    )

    private fun OnceDecision.batch() = effects.filterIsInstance<OnceEffect.Append>().single().batch

    private fun OnceDecision.settlement() =
        effects.filterIsInstance<OnceEffect.Settle>().single().settlement

    private fun OnceDecision.reason() = (settlement() as ClaimSettlement.Refused).refusal.reason

    private fun read(offset: Long, batch: ClaimBatch) =
        OnceEvent.Read(persistentListOf(ReadBatch(offset, batch)))

    /** Guards against sending a request whose claim was not read back. */
    @Test
    fun `a claim is granted when its record is read back`() {
        val asked = ready.request(later, later)
        val appended = asked.state.decide(
            OnceEvent.AppendSettled(asked.batch().appendId, AppendOutcome.Appended),
            later
        )
        expectThat(appended.effects.filterIsInstance<OnceEffect.Settle>().size).isEqualTo(0)
        val granted = appended.state.decide(read(0, asked.batch()), later)
        expectThat(granted.settlement()).isEqualTo(ClaimSettlement.Granted)
    }

    /** Guards against calls that wait or run although the log cannot confirm their claims. */
    @Test
    fun `a request is refused as not run when its append is rejected`() {
        val asked = ready.request(later, later)
        val rejected = asked.state.decide(
            OnceEvent.AppendSettled(asked.batch().appendId, AppendOutcome.Rejected),
            later
        )
        expectThat(rejected.settlement()).isA<ClaimSettlement.Refused>().get { refusal }.and {
            get { reason }.isEqualTo(RefusalReason.ClaimUnavailable)
            get { execution }.isEqualTo(Execution.NotRun)
        }
    }

    /** Guards against a key that stays held by a request that was refused and never sent. */
    @Test
    fun `a record that appears after its call was refused is released`() {
        val asked = ready.request(later, later)
        val unknown = asked.state.decide(
            OnceEvent.AppendSettled(asked.batch().appendId, AppendOutcome.Unknown),
            later
        )
        val end = later.plus(Duration.ofSeconds(5))
        val late = unknown.state.decide(OnceEvent.Ticked, end)
        expectThat(late.reason()).isEqualTo(RefusalReason.ClaimUnavailable)
        val released = late.state.decide(read(0, asked.batch()), end)
        expectThat(released.batch().entries.single()).isA<ClaimEntry.Release>()
    }

    /** Guards against treating an old key as unclaimed because its claim expired unread. */
    @Test
    fun `a key from before a gap is not treated as unclaimed`() {
        val gap = ready.decide(OnceEvent.Gap(50), later).state
        val old = gap.request(later, later.plusSeconds(10))
        expectThat(old.reason()).isEqualTo(RefusalReason.OutcomeUnknown)
    }

    /** Guards against the same fault when the stream was emptied and restarted at offset 0. */
    @Test
    fun `a key from before the stream was emptied is not treated as unclaimed`() {
        val read = ready.decide(read(9, ClaimBatch("x", 0, start, persistentListOf())), later)
        val emptied = read.state.decide(OnceEvent.Gap(0), later).state
        val mark = ClaimBatch("y", 10, start, persistentListOf())
        val marked = emptied.decide(read(0, mark), later.plusSeconds(5)).state
        val old = marked.request(later, later.plusSeconds(10))
        expectThat(old.reason()).isEqualTo(RefusalReason.OutcomeUnknown)
    }

    /** Guards against running a key again after its claim was forgotten. */
    @Test
    fun `a key outside the window is refused with an unknown outcome`() {
        val old = ready.request(later, later.plus(Duration.ofMinutes(11)))
        expectThat(old.settlement()).isA<ClaimSettlement.Refused>().get { refusal }.and {
            get { reason }.isEqualTo(RefusalReason.IdempotencyKeyExpired)
            get { execution }.isEqualTo(Execution.MayHaveRun)
        }
    }
}
