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
        outlives(HostileTraffic.BODIES_IN_ONE_PIECE, atReadyAddress = false)

    @Test
    fun `bodies in one piece that stop short at the ready address`() =
        outlives(HostileTraffic.BODIES_IN_ONE_PIECE, atReadyAddress = true)

    @Test
    fun `bodies in small pieces that stop short at the callers' address`() =
        outlives(HostileTraffic.BODIES_IN_SMALL_PIECES, atReadyAddress = false)

    @Test
    fun `bodies in small pieces that stop short at the ready address`() =
        outlives(HostileTraffic.BODIES_IN_SMALL_PIECES, atReadyAddress = true)

    @Test
    fun `bodies in tiny chunks that stop short at the callers' address`() =
        outlives(HostileTraffic.BODIES_IN_CHUNKS, atReadyAddress = false)

    @Test
    fun `bodies in tiny chunks that stop short at the ready address`() =
        outlives(HostileTraffic.BODIES_IN_CHUNKS, atReadyAddress = true)

    @Test
    fun `chunks with long extensions at the callers' address`() =
        outlives(HostileTraffic.CHUNK_EXTENSIONS, atReadyAddress = false)

    @Test
    fun `chunks with long extensions at the ready address`() =
        outlives(HostileTraffic.CHUNK_EXTENSIONS, atReadyAddress = true)

    @Test
    fun `bodies over the limit at the callers' address`() =
        outlives(HostileTraffic.BODIES_OVER_THE_LIMIT, atReadyAddress = false)

    @Test
    fun `bodies over the limit at the ready address`() =
        outlives(HostileTraffic.BODIES_OVER_THE_LIMIT, atReadyAddress = true)

    @Test
    fun `requests of many short fields at the callers' address`() =
        outlives(HostileTraffic.MANY_SHORT_FIELDS, atReadyAddress = false)

    @Test
    fun `requests of many short fields at the ready address`() =
        outlives(HostileTraffic.MANY_SHORT_FIELDS, atReadyAddress = true)

    @Test
    fun `requests sent ahead at the callers' address`() =
        outlives(HostileTraffic.REQUESTS_SENT_AHEAD, atReadyAddress = false)

    @Test
    fun `requests sent ahead at the ready address`() =
        outlives(HostileTraffic.REQUESTS_SENT_AHEAD, atReadyAddress = true)

    @Test
    fun `many slow senders at the callers' address`() =
        outlives(HostileTraffic.SLOW_SENDERS, atReadyAddress = false)

    @Test
    fun `many slow senders at the ready address`() =
        outlives(HostileTraffic.SLOW_SENDERS, atReadyAddress = true)

    @Test
    fun `many slow readers at the callers' address`() =
        outlives(HostileTraffic.SLOW_READERS, atReadyAddress = false)

    @Test
    fun `many slow readers at the ready address`() =
        outlives(HostileTraffic.SLOW_READERS, atReadyAddress = true)

    @Test
    fun `many connections without a request at the callers' address`() =
        outlives(HostileTraffic.HALF_OPEN, atReadyAddress = false)

    @Test
    fun `many connections without a request at the ready address`() =
        outlives(HostileTraffic.HALF_OPEN, atReadyAddress = true)

    private fun outlives(traffic: HostileTraffic, atReadyAddress: Boolean) {
        CrowdedInstance(File(folder, "instance.log")).use { instance ->
            HostileCrowd(traffic, instance.doors(traffic, atReadyAddress)).use { crowd ->
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
