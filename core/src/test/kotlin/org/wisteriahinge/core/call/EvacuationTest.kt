package org.wisteriahinge.core.call

import java.time.Duration
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.call.OpenRoutesFixture.arriveOpen
import org.wisteriahinge.core.directory.Evacuations
import org.wisteriahinge.core.directory.OperatorRecord
import org.wisteriahinge.core.model.ListedTargets
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.core.survey.SurveyPolicy
import org.wisteriahinge.core.watch.WatchUpdate
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.single

private val EVACUATED = Zone("b")

/** Guards against requests that reach targets of a zone that the operator evacuates. */
class EvacuationTest {
    private fun instance(survey: SurveyPolicy = SurveyPolicy.Off): CallsHarness {
        val harness = OpenRoutesFixture.harness(targets = 4, survey)
        val listing = OpenRoutesFixture.listing(4).byService.mapValues { (_, targets) ->
            targets.mapIndexed { index, target ->
                if (index < 2) target else target.copy(zone = EVACUATED)
            }.toPersistentList()
        }
        val byService = OpenRoutesFixture.listing(4).byService.putAll(listing)
        return harness.handle(CallEvent.TargetsListed(ListedTargets(byService)))
    }

    private fun CallsHarness.evacuate(zones: List<Zone>) =
        handle(CallEvent.ZonesEvacuated(zones.toPersistentSet()))

    private fun CallsHarness.zonesOf(ids: LongRange): List<Zone> = ids.map { id ->
        val attempt = arriveOpen(OpenRoutesFixture.request(id)).forwarded.single()
        answer(id, attempt).complete(id, attempt)
        attempt.target.zone
    }

    @Test
    fun `targets of an evacuated zone get nothing until it is taken back`() {
        val harness = instance()
        harness.evacuate(listOf(EVACUATED))
        expectThat(harness.zonesOf(1L..12L)).all { isEqualTo(Zone("a")) }
        harness.evacuate(listOf(Zone("a")))
        expectThat(harness.zonesOf(13L..24L)).all { isEqualTo(EVACUATED) }
    }

    /** The list of targets changes all the time; a newer one must not end an evacuation. */
    @Test
    fun `an evacuation outlasts new lists of targets and new configurations`() {
        val harness = instance()
        harness.evacuate(listOf(EVACUATED))
        harness.handle(CallEvent.TargetsListed(checkNotNull(harness.state.listed)))
        expectThat(harness.zonesOf(1L..12L)).all { isEqualTo(Zone("a")) }
    }

    @Test
    fun `a call that waits for its survey is not sent to a zone that was evacuated meanwhile`() {
        val harness = instance(SurveyPolicy.BeforeEach())
        harness.arriveOpen(OpenRoutesFixture.request(1))
        harness.evacuate(listOf(EVACUATED, Zone("a")))
        harness.now += Duration.ofSeconds(1)
        harness.handle(CallEvent.Ticked)
        expectThat(harness.forwarded).isEmpty()
        expectThat(harness.refusals).single()
            .get { reason }.isEqualTo(RefusalReason.NoTarget)
    }

    @Test
    fun `zones follow the operator's records, and the newest records replace them`() {
        val evacuated = Evacuations().decide(
            WatchUpdate.Changes(persistentListOf(OperatorRecord.ZoneEvacuated(EVACUATED)))
        )
        expectThat(evacuated.zones).isEqualTo(persistentSetOf(EVACUATED))
        expectThat(evacuated.decide(WatchUpdate.Lost)).isEqualTo(evacuated)
        val back = evacuated.decide(
            WatchUpdate.Changes(persistentListOf(OperatorRecord.ZoneTakenBack(EVACUATED)))
        )
        expectThat(back.zones).isEmpty()
        expectThat(evacuated.decide(WatchUpdate.Newest(persistentListOf())).zones).isEmpty()
    }
}
