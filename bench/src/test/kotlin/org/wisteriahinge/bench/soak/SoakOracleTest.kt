package org.wisteriahinge.bench.soak

import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty

/** Guards against an oracle that misses a violated guarantee, or reports a valid history. */
class SoakOracleTest {
    private fun at(millis: Long) = Duration.ofMillis(millis)

    private fun request(
        id: String,
        work: SoakWork = SoakWork.Write,
        sentAt: Long = 1_000,
        result: SoakResult = answered(200)
    ) = SoakRequest(id, work, 0, at(sentAt), at(sentAt + 30), result)

    private fun answered(status: Int, isGenuine: Boolean = true) =
        SoakResult.Answered(status, isGenuine)

    private fun arrival(id: String, millis: Long = 1_010, target: Int = 0) =
        SoakArrival(id, target, at(millis))

    private fun promises(
        requests: List<SoakRequest> = emptyList(),
        arrivals: List<SoakArrival> = emptyList(),
        events: PersistentList<SoakEvent> = persistentListOf()
    ): List<String> {
        val history =
            SoakHistory(requests.toPersistentList(), arrivals.toPersistentList(), events)
        return violations(history, instances = 1).map { it.promise }
    }

    @Test
    fun `requests that are served once keep every promise`() {
        val requests = listOf(request("a"), request("b", SoakWork.Read))
        expectThat(promises(requests, listOf(arrival("a"), arrival("b")))).isEmpty()
    }

    @Test
    fun `a write that ran twice is found, a read may`() {
        val others = (1..10).map { request("r$it", SoakWork.Read) }
        val requests = listOf(request("a"), request("b", SoakWork.Read)) + others
        val arrivals = listOf("a", "a", "b", "b").map { arrival(it) }
        expectThat(promises(requests, arrivals)).containsExactly("runs once at most")
    }

    @Test
    fun `requests beyond the limit of a target are found, once it must hold`() {
        val fault = SoakFault.LimitedTarget(0, perSecond = 1.0, at(12_000))
        val limited = SoakEvent.FaultInjected(fault, at(1_000), at(13_000))
        val requests = (1..12).map { request("r$it", SoakWork.Read) }
        fun arrivalsFrom(millis: Long) = (1..12).map { arrival("r$it", millis + it * 100) }
        val events = persistentListOf<SoakEvent>(limited)
        expectThat(promises(requests, arrivalsFrom(1_000), events)).isEmpty()
        expectThat(promises(requests, arrivalsFrom(5_000), events))
            .containsExactly("limits of targets hold")
    }

    @Test
    fun `a refusal of a write that ran is found`() {
        val requests = listOf(request("a", result = answered(503, isGenuine = false)))
        expectThat(promises(requests, listOf(arrival("a"))))
            .containsExactly("refusals are true")
        expectThat(promises(requests)).isEmpty()
    }

    @Test
    fun `an answer that is not the target's is found`() {
        val requests = listOf(request("a", result = answered(200, isGenuine = false)))
        expectThat(promises(requests)).containsExactly("answers are whole and own")
    }

    @Test
    fun `a proper request that is denied is found`() {
        val requests = listOf(
            request("a", result = answered(404, isGenuine = false)),
            request("b", SoakWork.ConfigurationProbe(1), result = answered(404, isGenuine = false))
        )
        expectThat(promises(requests)).containsExactly("proper requests are not denied")
    }

    private fun faultInjected(fault: SoakFault, from: Long, until: Long) =
        SoakEvent.FaultInjected(fault, at(from), at(until))

    private val drain = faultInjected(SoakFault.Drain(0, at(6_000)), 10_000, 16_000)

    @Test
    fun `work at a drained target is found unless the store was away`() {
        val requests = listOf(request("a", sentAt = 13_000))
        val arrivals = listOf(arrival("a", 13_010))
        expectThat(promises(requests, arrivals, persistentListOf(drain)))
            .containsExactly("drained targets get nothing")
        val down = faultInjected(SoakFault.StoreDown(at(3_000)), 9_000, 12_000)
        expectThat(promises(requests, arrivals, persistentListOf(drain, down))).isEmpty()
    }

    @Test
    fun `callers who are not served by an instance without links are found`() {
        val fault = SoakFault.InstanceLinks(0, LinkMode.Blackhole, at(10_000))
        val events = persistentListOf<SoakEvent>(faultInjected(fault, 10_000, 20_000))
        fun requests(instance: Int, status: Int) = (1..30).map {
            request(
                "i$instance-$it",
                SoakWork.Read,
                sentAt = 13_100L + it,
                result = answered(status)
            ).copy(instance = instance)
        }
        expectThat(promises(requests(0, 502) + requests(1, 200), events = events))
            .containsExactly("instances without links serve")
        expectThat(promises(requests(0, 200) + requests(1, 200), events = events)).isEmpty()
        val down = faultInjected(SoakFault.StoreDown(at(3_000)), 12_000, 15_000)
        val disturbed = events.add(down)
        expectThat(promises(requests(0, 502) + requests(1, 200), events = disturbed)).isEmpty()
    }

    private fun probe(version: Int, sentAt: Long, status: Int = 200) = request(
        "l-$version-$sentAt",
        SoakWork.ConfigurationProbe(version),
        sentAt,
        answered(status)
    )

    @Test
    fun `a configuration that goes back is found unless the instance started anew`() {
        val requests = listOf(probe(2, 1_000), probe(1, 2_000))
        expectThat(promises(requests)).containsExactly("configurations never go back")
        val kill = faultInjected(SoakFault.Kill(0), 1_500, 1_600)
        expectThat(promises(requests, events = persistentListOf(kill))).isEmpty()
    }

    @Test
    fun `a configuration that takes effect late is found`() {
        val published = SoakEvent.ConfigurationPublished(3, at(10_000))
        val events = persistentListOf<SoakEvent>(published)
        expectThat(promises(listOf(probe(3, 13_000, 404)), events = events))
            .containsExactly("configurations take effect in time")
        expectThat(promises(listOf(probe(3, 11_000, 404)), events = events)).isEmpty()
    }

    @Test
    fun `more repeats than the budget allows are found`() {
        val requests = (1..20).map { request("r$it", SoakWork.Read, 1_000L + it) }
        val twice = (1..6).flatMap { id -> List(2) { arrival("r$id", 1_100L + it) } }
        expectThat(promises(requests, twice)).containsExactly("repeats stay in the budget")
        expectThat(promises(requests, twice.drop(2))).isEmpty()
    }

    private fun stop(exitCode: Int?) =
        SoakEvent.InstanceStopped(0, Stopped(exitCode, at(900)), at(10_000), at(10_900))

    @Test
    fun `a request that a stop cuts off is found unless something else disturbed it`() {
        val requests = listOf(request("a", sentAt = 10_500, result = SoakResult.Broken))
        val arrivals = listOf(arrival("a", 10_510))
        expectThat(promises(requests, arrivals, persistentListOf(stop(0))))
            .containsExactly("stops cut nothing off")
        val cut =
            faultInjected(SoakFault.TargetLink(0, LinkMode.Resetting, at(900)), 10_400, 11_300)
        expectThat(promises(requests, arrivals, persistentListOf(stop(0), cut))).isEmpty()
    }

    @Test
    fun `a process that does not end in time, or ends by itself, is found`() {
        expectThat(promises(events = persistentListOf(stop(null))))
            .containsExactly("stops end in time and well")
        expectThat(promises(events = persistentListOf(SoakEvent.UnexpectedExit(0, at(5)))))
            .containsExactly("processes do not end by themselves")
    }
}
