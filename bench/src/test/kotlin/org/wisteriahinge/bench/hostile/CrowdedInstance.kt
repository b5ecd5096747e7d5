package org.wisteriahinge.bench.hostile

import java.io.Closeable
import java.io.File
import java.util.concurrent.atomic.AtomicLong
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.wisteriahinge.bench.endless.EndlessPart
import org.wisteriahinge.bench.endless.EndlessTarget
import org.wisteriahinge.bench.soak.ProcessLimits
import org.wisteriahinge.bench.soak.SoakAddresses
import org.wisteriahinge.bench.soak.SoakCaller
import org.wisteriahinge.bench.soak.SoakInstance
import org.wisteriahinge.bench.soak.SoakResult
import org.wisteriahinge.bench.soak.freeAddress
import org.wisteriahinge.bench.standin.StandInPlatformTarget
import org.wisteriahinge.bench.standin.StandInStore
import org.wisteriahinge.core.model.Address

/** Heap, descriptors and memory of bodies, lowered so that small crowds meet the limits. */
private const val HEAP_MIB = 40
private const val DESCRIPTORS = 512
private const val BODY_MEMORY_BYTES = 20 * 1_024 * 1_024

/** The heap and three times as much for everything else. */
internal const val MAX_MEMORY_MIB = 160L

/** Leaves room for a part of the connections to targets. */
internal const val MAX_DESCRIPTORS = 480

private const val START_ATTEMPTS = 3_000
private const val CALL_ATTEMPTS = 8
private const val POLL_MILLIS = 20L
private const val RETRY_MILLIS = 200L
private const val KIB_PER_MIB = 1_024
private const val OK = 200

/** The addresses of an instance to which a crowd connects. */
internal enum class CrowdPlace { CALLERS, READY, HANDOVER, RELAY }

/** An instance with lowered limits as a process of its own, a sound service and an endless one. */
internal class CrowdedInstance(log: File) : Closeable {
    private val store = StandInStore()
    private val sound = StandInPlatformTarget("sound")
    private val endless = EndlessTarget(EndlessPart.BODY_WITH_LENGTH, AtomicLong())
    private val relay = freeAddress()
    private val addresses = SoakAddresses(
        callers = freeAddress(),
        ready = freeAddress(),
        relay = relay,
        handover = freeAddress(),
        store = Address("127.0.0.1", store.start()),
        relays = persistentListOf(relay)
    )
    private val instance: SoakInstance

    init {
        store.put("keyed.op", "config", CONFIGURATION)
        store.put("keyed.servers", "sound", sound.entry("s-1", "a", sound.start()))
        endless.start()
        store.put("keyed.servers", "endless", sound.entry("s-2", "a", endless.port))
        val limits = ProcessLimits(
            HEAP_MIB,
            DESCRIPTORS,
            persistentMapOf(
                "WISTERIAHINGE_BODY_MEMORY_BYTES" to "$BODY_MEMORY_BYTES",
                "WISTERIAHINGE_MAX_DESCRIPTORS" to "$DESCRIPTORS"
            )
        )
        instance = SoakInstance("crowded", addresses, log, limits)
        repeat(START_ATTEMPTS) { if (!instance.isReady()) Thread.sleep(POLL_MILLIS) }
        check(instance.isReady()) { "not ready; ${instance.describe()}" }
    }

    val isAlive: Boolean get() = instance.isAlive

    val peakMemoryMib: Long
        get() = File("/proc/${instance.pid}/status").readLines()
            .first { it.startsWith("VmHWM:") }
            .filter { it.isDigit() }.toLong() / KIB_PER_MIB

    val openDescriptors: Int get() = File("/proc/${instance.pid}/fd").list().orEmpty().size

    /** Where [traffic] is sent at [place]. */
    fun doors(traffic: HostileTraffic, place: CrowdPlace): List<Door> = when (place) {
        CrowdPlace.CALLERS -> if (traffic == HostileTraffic.SLOW_READERS) {
            listOf(Door(addresses.callers, "/e/1"))
        } else {
            listOf(Door(addresses.callers, "/x/1"), Door(addresses.callers, "/none"))
        }
        CrowdPlace.READY ->
            listOf(Door(addresses.ready, "/api/ready"), Door(addresses.ready, "/metrics"))
        CrowdPlace.HANDOVER -> listOf(Door(addresses.handover, "/x/1"))
        CrowdPlace.RELAY -> listOf(
            Door(addresses.relay, "/topics/keyed.op/newest"),
            Door(addresses.relay, "/topics/keyed.op/changes?from=1000&wait_ms=10000")
        )
    }

    fun isReady(): Boolean = instance.isReady()

    /** Whether a call is served; one that is refused or cut off is sent again. */
    fun servesOrdinaryCall(): Boolean = (1..CALL_ATTEMPTS).any { attempt ->
        val caller = SoakCaller(addresses.callers)
        val result = caller.send("ordinary-$attempt", "GET", "/x/ordinary", ByteArray(0))
        caller.close()
        val isServed = (result as? SoakResult.Answered)?.status == OK
        if (!isServed) Thread.sleep(RETRY_MILLIS)
        isServed
    }

    fun describe(): String = if (isAlive) {
        "$peakMemoryMib MiB, $openDescriptors descriptors, ${instance.describe()}"
    } else {
        instance.describe()
    }

    override fun close() {
        instance.kill()
        endless.close()
        sound.close()
        store.close()
    }

    private companion object {
        const val CONFIGURATION =
            """{"version":1,"routes":{"columns":["name","host","pathPrefix","kind",""" +
                """"timeoutMs","sloMs","priority","backends","maxAttempts","service"],"rows":[""" +
                """["r-1","127.0.0.1","/x/","safe",60000,250,2,null,2,"s-1"],""" +
                """["r-2","127.0.0.1","/e/","safe",60000,300,2,null,2,"s-2"]]},""" +
                """"services":{"columns":["name","healthPath","maxConns"],""" +
                """"rows":[["s-1","/health",260],["s-2","/health",260]]},""" +
                """"limits":{"maxHeaderBytes":16384,"maxBodyBytes":2097152,""" +
                """"headerTimeoutMs":60000,"idleTimeoutMs":60000}}"""
    }
}
