package org.wisteriahinge.bench.start

import java.io.Closeable
import java.io.File
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.file.Files
import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.wisteriahinge.bench.soak.SoakCaller
import org.wisteriahinge.bench.soak.SoakResult
import org.wisteriahinge.bench.standin.StandInPlatformTarget
import org.wisteriahinge.bench.standin.StandInStore
import org.wisteriahinge.core.model.Address

/** Command that measures what a start, the first calls and a second at rest cost. */
internal const val START_COST = "start-cost"

private const val LOCALHOST = "127.0.0.1"
private const val SERVICE = "s-1"
private const val CALLED_TARGETS = 6

/** Entries of targets that are only listed; with the called ones, those of a large deployment. */
private const val LISTED_TARGETS = 225
private const val FIRST_CALLS = 40
private const val WRITE_BYTES = 4_096
private const val POLL_MILLIS = 2L
private val ENTRY_PERIOD: Duration = Duration.ofMillis(1_500)
private val CALL_INTERVAL: Duration = Duration.ofMillis(25)
private val REST: Duration = Duration.ofSeconds(6)
private val START_LIMIT: Duration = Duration.ofSeconds(30)

/** One start of the program: times since the launch, and processor time of the process. */
private class StartSample(
    val listeningMillis: Double,
    val firstAnswerMillis: Double,
    val answered: Int,
    val start: ThreadTimes,
    val calls: ThreadTimes,
    val restPerSecond: ThreadTimes
)

/**
 * Measures starts of the program that was built at [root].
 *
 * Each start is one process on one core with an in-memory store and targets: it is launched, gets
 * forty calls, and then rests while the entries of its targets change.
 */
internal class StartCost(root: File, private val starts: Int) : Closeable {
    private val store = StandInStore()
    private val targets: PersistentList<StandInPlatformTarget> =
        List(CALLED_TARGETS) { StandInPlatformTarget("i-$it") }.toPersistentList()
    private val program = DeployedProgram(root)
    private val log = Files.createTempFile("start-cost", ".log").toFile()

    /** Runs the measurement and returns its result as one JSON object. */
    fun run(): JsonObject {
        val storeAddress = Address(LOCALHOST, store.start())
        val ports = targets.map { it.start() }.toPersistentList()
        store.put("keyed.op", "config", CONFIGURATION)
        announce(ports, seq = 1)
        val announcer = Thread({ announceUntilInterrupted(ports) }, "announcer")
        announcer.start()
        return try {
            report(List(starts) { measureStart(storeAddress) })
        } finally {
            announcer.interrupt()
        }
    }

    private fun announceUntilInterrupted(ports: PersistentList<Int>) {
        try {
            generateSequence(2L) { it + 1 }.forEach { seq ->
                Thread.sleep(ENTRY_PERIOD.toMillis())
                announce(ports, seq)
            }
        } catch (_: InterruptedException) {
            return
        }
    }

    private fun announce(ports: PersistentList<Int>, seq: Long) {
        targets.forEachIndexed { index, target ->
            val entry = target.entry(SERVICE, "a", ports[index], seq = seq)
            store.put("keyed.servers", target.id, entry)
        }
        repeat(LISTED_TARGETS) { index ->
            val entry = targets.first().entry("s-2", "b", port = index + 1, seq = seq)
            store.put("keyed.servers", "listed-$index", entry)
        }
    }

    private fun measureStart(storeAddress: Address): StartSample {
        val addresses = StartAddresses(freeAddress(), freeAddress(), storeAddress)
        val startedNanos = System.nanoTime()
        val process = program.launch(addresses, log)
        try {
            val pid = process.pid()
            val listening = awaitMillis(startedNanos) { accepts(addresses.callers) }
            val caller = SoakCaller(addresses.callers)
            val first = awaitMillis(startedNanos) { caller.get("first") }
            val started = ThreadTimes.of(pid)
            val answered = (1..FIRST_CALLS).count { call(caller, it) }
            val called = ThreadTimes.of(pid)
            Thread.sleep(REST.toMillis())
            val rest = (ThreadTimes.of(pid) - called).perSecond(REST)
            return StartSample(listening, first, answered, started, called - started, rest)
        } finally {
            process.destroyForcibly().waitFor()
        }
    }

    private fun awaitMillis(startedNanos: Long, done: () -> Boolean): Double {
        while (!done()) {
            val waited = Duration.ofNanos(System.nanoTime() - startedNanos)
            check(waited < START_LIMIT) { "no answer within $START_LIMIT; see $log" }
            Thread.sleep(POLL_MILLIS)
        }
        return Duration.ofNanos(System.nanoTime() - startedNanos).toNanos() / NANOS_PER_MILLI
    }

    private fun accepts(address: Address): Boolean = try {
        Socket(InetAddress.getByName(address.host), address.port).close()
        true
    } catch (_: IOException) {
        false
    }

    private fun call(caller: SoakCaller, number: Int): Boolean {
        Thread.sleep(CALL_INTERVAL.toMillis())
        return if (number % 2 == 0) caller.get("$number") else caller.post("$number")
    }

    private fun SoakCaller.get(id: String): Boolean =
        send(id, "GET", "/x/$id", ByteArray(0)).isSuccess()

    private fun SoakCaller.post(id: String): Boolean =
        send(id, "POST", "/w/$id", ByteArray(WRITE_BYTES)).isSuccess()

    private fun SoakResult.isSuccess(): Boolean = this is SoakResult.Answered && status == OK

    private fun report(samples: List<StartSample>): JsonObject = buildJsonObject {
        put("scenario", START_COST)
        put("starts", samples.size)
        put("listening_ms", samples.median { it.listeningMillis })
        put("first_answer_ms", samples.median { it.firstAnswerMillis })
        put("calls_answered", samples.sumOf { it.answered })
        put("calls_sent", samples.size * FIRST_CALLS)
        putTimes("start", samples.map { it.start }.toPersistentList())
        putTimes("calls", samples.map { it.calls }.toPersistentList())
        putTimes("rest_per_s", samples.map { it.restPerSecond }.toPersistentList())
    }

    private fun JsonObjectBuilder.putTimes(name: String, times: PersistentList<ThreadTimes>) {
        put("${name}_cpu_ms", times.median { it.totalMillis })
        put("${name}_vm_ms", times.median { it.vmMillis })
        put("${name}_main_ms", times.median { it.mainMillis })
        put("${name}_io_ms", times.median { it.ioMillis })
        put("${name}_duties_ms", times.median { it.dutiesMillis })
    }

    override fun close() {
        targets.forEach { it.close() }
        store.close()
    }

    private companion object {
        const val OK = 200
        const val NANOS_PER_MILLI = 1_000_000.0
        const val CONFIGURATION =
            """{"version":1,"routes":{"columns":["name","host","pathPrefix","kind",""" +
                """"timeoutMs","sloMs","priority","backends","maxAttempts","service"],"rows":[""" +
                """["r-1","$LOCALHOST","/x/","safe",1500,250,2,null,2,"$SERVICE"],""" +
                """["r-2","$LOCALHOST","/w/","unsafe",1500,300,1,null,2,"$SERVICE"]]},""" +
                """"services":{"columns":["name","healthPath","maxConns"],""" +
                """"rows":[["$SERVICE","/health",260]]},"limits":{"maxHeaderBytes":16384,""" +
                """"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"""
    }
}

private fun <T> List<T>.median(value: (T) -> Double): Double = map(value).sorted()[size / 2]

private fun freeAddress(): Address = Address(LOCALHOST, ServerSocket(0).use { it.localPort })
