package org.wisteriahinge.bench.hostile

import java.io.File
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

/** Guards against clients that end or block an instance by what they send. */
class HostileClientsTest {
    @TempDir
    lateinit var folder: File

    @Test
    fun `bodies in one piece that stop short at the callers' address`() =
        outlives(HostileTraffic.BODIES_IN_ONE_PIECE, CrowdPlace.CALLERS)

    @Test
    fun `bodies in one piece that stop short at the ready address`() =
        outlives(HostileTraffic.BODIES_IN_ONE_PIECE, CrowdPlace.READY)

    @Test
    fun `bodies in small pieces that stop short at the callers' address`() =
        outlives(HostileTraffic.BODIES_IN_SMALL_PIECES, CrowdPlace.CALLERS)

    @Test
    fun `bodies in small pieces that stop short at the ready address`() =
        outlives(HostileTraffic.BODIES_IN_SMALL_PIECES, CrowdPlace.READY)

    @Test
    fun `bodies in tiny chunks that stop short at the callers' address`() =
        outlives(HostileTraffic.BODIES_IN_CHUNKS, CrowdPlace.CALLERS)

    @Test
    fun `bodies in tiny chunks that stop short at the ready address`() =
        outlives(HostileTraffic.BODIES_IN_CHUNKS, CrowdPlace.READY)

    @Test
    fun `chunks with long extensions at the callers' address`() =
        outlives(HostileTraffic.CHUNK_EXTENSIONS, CrowdPlace.CALLERS)

    @Test
    fun `chunks with long extensions at the ready address`() =
        outlives(HostileTraffic.CHUNK_EXTENSIONS, CrowdPlace.READY)

    @Test
    fun `bodies over the limit at the callers' address`() =
        outlives(HostileTraffic.BODIES_OVER_THE_LIMIT, CrowdPlace.CALLERS)

    @Test
    fun `bodies over the limit at the ready address`() =
        outlives(HostileTraffic.BODIES_OVER_THE_LIMIT, CrowdPlace.READY)

    @Test
    fun `requests of many short fields at the callers' address`() =
        outlives(HostileTraffic.MANY_SHORT_FIELDS, CrowdPlace.CALLERS)

    @Test
    fun `requests of many short fields at the ready address`() =
        outlives(HostileTraffic.MANY_SHORT_FIELDS, CrowdPlace.READY)

    @Test
    fun `requests sent ahead at the callers' address`() =
        outlives(HostileTraffic.REQUESTS_SENT_AHEAD, CrowdPlace.CALLERS)

    @Test
    fun `requests sent ahead at the ready address`() =
        outlives(HostileTraffic.REQUESTS_SENT_AHEAD, CrowdPlace.READY)

    @Test
    fun `many slow senders at the callers' address`() =
        outlives(HostileTraffic.SLOW_SENDERS, CrowdPlace.CALLERS)

    @Test
    fun `many slow senders at the ready address`() =
        outlives(HostileTraffic.SLOW_SENDERS, CrowdPlace.READY)

    @Test
    fun `many slow readers at the callers' address`() =
        outlives(HostileTraffic.SLOW_READERS, CrowdPlace.CALLERS)

    @Test
    fun `many slow readers at the ready address`() =
        outlives(HostileTraffic.SLOW_READERS, CrowdPlace.READY)

    @Test
    fun `many connections without a request at the callers' address`() =
        outlives(HostileTraffic.HALF_OPEN, CrowdPlace.CALLERS)

    @Test
    fun `many connections without a request at the ready address`() =
        outlives(HostileTraffic.HALF_OPEN, CrowdPlace.READY)

    @Test
    fun `requests of many short fields at the address for handed-over calls`() =
        outlives(HostileTraffic.MANY_SHORT_FIELDS, CrowdPlace.HANDOVER)

    @Test
    fun `requests of many short fields at a relay`() =
        outlives(HostileTraffic.MANY_SHORT_FIELDS, CrowdPlace.RELAY)

    @Test
    fun `requests sent ahead at the address for handed-over calls`() =
        outlives(HostileTraffic.REQUESTS_SENT_AHEAD, CrowdPlace.HANDOVER)

    @Test
    fun `requests sent ahead at a relay`() =
        outlives(HostileTraffic.REQUESTS_SENT_AHEAD, CrowdPlace.RELAY)

    @Test
    fun `many connections without a request at the address for handed-over calls`() =
        outlives(HostileTraffic.HALF_OPEN, CrowdPlace.HANDOVER)

    @Test
    fun `many connections without a request at a relay`() =
        outlives(HostileTraffic.HALF_OPEN, CrowdPlace.RELAY)

    private fun outlives(traffic: HostileTraffic, place: CrowdPlace) {
        CrowdedInstance(File(folder, "instance.log")).use { instance ->
            HostileCrowd(traffic, instance.doors(traffic, place)).use { crowd ->
                crowd.send()
                val seen = instance.describe()
                expectThat(instance.isAlive).describedAs("lives; $seen").isTrue()
                expectThat(instance.peakMemoryMib).describedAs("MiB; $seen")
                    .isLessThan(MAX_MEMORY_MIB)
                expectThat(instance.openDescriptors).describedAs("descriptors; $seen")
                    .isLessThan(MAX_DESCRIPTORS)
                expectThat(instance.servesOrdinaryCall()).describedAs("serves; $seen").isTrue()
                expectThat(instance.isReady()).describedAs("ready; $seen").isTrue()
            }
        }
    }
}
