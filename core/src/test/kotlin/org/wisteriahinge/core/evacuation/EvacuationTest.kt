package org.wisteriahinge.core.evacuation

import java.time.Duration
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentHashSet
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallsHarness
import org.wisteriahinge.core.call.OpenRoutesFixture
import org.wisteriahinge.core.call.OpenRoutesFixture.arriveOpen
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.ListedTargets
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.core.survey.SurveyPolicy
import org.wisteriahinge.core.watch.WatchUpdate
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty

private val LOCAL = Zone("a")
private val OTHER = Zone("b")

/** Guards against requests and probes that reach a zone after the operator evacuated it. */
class EvacuationTest {
    /** An instance in the zone [LOCAL], whose two targets it prefers, with two more in [OTHER]. */
    private fun harness(survey: SurveyPolicy = SurveyPolicy.Off): CallsHarness {
        val targets = OpenRoutesFixture.targets(4)
            .mapIndexed { index, target -> target.copy(zone = if (index < 2) LOCAL else OTHER) }
        val listed = ListedTargets(
            persistentHashMapOf(OpenRoutesFixture.service to targets.toPersistentList())
        )
        return OpenRoutesFixture.harness(survey = survey).handle(CallEvent.TargetsListed(listed))
    }

    private fun CallsHarness.evacuate(zones: List<Zone>) =
        handle(CallEvent.ZonesEvacuated(zones.toPersistentHashSet()))

    private fun CallsHarness.send(id: Long) =
        arriveOpen(OpenRoutesFixture.request(id)).forwarded.single()

    /** The zone that serves a call, which ends at once. */
    private fun CallsHarness.serve(id: Long): Zone {
        val attempt = send(id)
        answer(id, attempt).complete(id, attempt)
        return attempt.target.zone
    }

    @Test
    fun `first attempts, retries and hedges leave the zone until it is restored`() {
        val harness = harness()
        expectThat(harness.send(1).target.zone).isEqualTo(LOCAL)
        harness.evacuate(listOf(LOCAL))
        expectThat((2L..9L).map { harness.serve(it) }.toSet()).isEqualTo(setOf(OTHER))
        val failed = harness.send(10)
        val retried = harness.fail(10, failed, AttemptFailure.Shed).forwarded.single()
        expectThat(retried.target.zone).isEqualTo(OTHER)
        // The call that was sent before the evacuation is hedged outside of its zone.
        harness.now += Duration.ofMillis(126)
        harness.handle(CallEvent.Ticked)
        expectThat(harness.forwarded).isNotEmpty()
        expectThat(harness.forwarded.map { it.target.zone }.toSet()).isEqualTo(setOf(OTHER))
        harness.evacuate(emptyList())
        expectThat((11L..19L).map { harness.serve(it) }.toSet()).isEqualTo(setOf(LOCAL))
    }

    @Test
    fun `targets of the zone are not probed, and a call that waits for their reports goes on`() {
        val waiting = harness(SurveyPolicy.BeforeEach()).arriveOpen(OpenRoutesFixture.request(1))
        expectThat(waiting.forwarded).isEmpty()
        waiting.evacuate(listOf(LOCAL))
        val seen = generateSequence { waiting.now += Duration.ofMillis(50) }.take(10)
            .flatMap { waiting.handle(CallEvent.Ticked).effects }.toList()
        val sent = seen.filterIsInstance<CallEffect.Forward>().map { it.attempt.target.zone }
        expectThat(sent.toSet()).isEqualTo(setOf(OTHER))

        val later = harness(SurveyPolicy.BeforeEach()).evacuate(listOf(LOCAL))
        val probed = later.arriveOpen(OpenRoutesFixture.request(1)).effects
            .filterIsInstance<CallEffect.Probe>().map { it.target.zone }
        expectThat(probed).isNotEmpty()
        expectThat(probed.toSet()).isEqualTo(setOf(OTHER))
    }

    @Test
    fun `a call whose service is in evacuated zones only is refused as not run`() {
        val refusal = harness().evacuate(listOf(LOCAL, OTHER))
            .arriveOpen(OpenRoutesFixture.request(1)).refusals.single()
        expectThat(refusal.reason).isEqualTo(RefusalReason.NoTarget)
        expectThat(refusal.execution).isEqualTo(Execution.NotRun)
    }

    @Test
    fun `the newest records replace the zones, and changes add and remove them`() {
        val a = OperatorRecord.ZoneEvacuated(LOCAL)
        val b = OperatorRecord.ZoneEvacuated(OTHER)
        val changes = WatchUpdate.Changes(
            persistentListOf(a, b, OperatorRecord.ZoneRestored(LOCAL))
        )
        val changed = EvacuatedZones().decide(changes)
        expectThat(changed.zones).isEqualTo(persistentHashSetOf(OTHER))
        expectThat(changed.decide(WatchUpdate.Lost)).isEqualTo(changed)
        // The removal of the record of `b` expired before it was read.
        expectThat(changed.decide(WatchUpdate.Newest(persistentListOf(a))).zones)
            .isEqualTo(persistentHashSetOf(LOCAL))
    }
}
