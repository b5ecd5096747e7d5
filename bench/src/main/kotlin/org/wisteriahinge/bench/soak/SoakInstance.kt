package org.wisteriahinge.bench.soak

import java.io.File
import java.io.IOException
import java.net.InetAddress
import java.net.Socket
import java.time.Duration
import java.util.concurrent.TimeUnit
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.wisteriahinge.core.model.Address

private const val MAIN_CLASS = "org.wisteriahinge.app.MainKt"
private const val GRACE_SECONDS = 6L
private const val LOG_LINES = 8

/** The addresses at which an instance listens, and those of the store and the relays. */
internal data class SoakAddresses(
    val callers: Address,
    val ready: Address,
    val relay: Address,
    val handover: Address,
    val store: Address,
    val relays: PersistentList<Address>
)

/** Result of a SIGTERM; [exitCode] is null if the process did not exit within the grace time. */
internal data class Stopped(val exitCode: Int?, val took: Duration)

/** Heap and open files of an instance's process, and settings in its [environment]. */
internal data class ProcessLimits(
    val heapMib: Int = 128,
    val descriptors: Int = 4_100,
    val environment: PersistentMap<String, String> = persistentMapOf()
)

/** An instance that runs as a child process. Signals go only to this process. */
internal class SoakInstance(
    private val name: String,
    private val addresses: SoakAddresses,
    private val log: File,
    private val limits: ProcessLimits = ProcessLimits()
) {
    @Volatile
    private var process: Process = launch()

    /** Whether the process exists, paused or not. */
    val isAlive: Boolean get() = process.isAlive

    /** The id of the process. */
    val pid: Long get() = process.pid()

    val callers: Address get() = addresses.callers

    /** Whether the process runs, and the end of its log. */
    fun describe(): String {
        val state = if (isAlive) "runs" else "exited with ${process.exitValue()}"
        return "$name $state:\n" + log.readLines().takeLast(LOG_LINES).joinToString("\n")
    }

    private fun launch(): Process {
        val java = File(System.getProperty("java.home"), "bin/java").path
        val options =
            listOf("-Xmx${limits.heapMib}m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")
        // The shell replaces itself, so that signals reach the instance.
        val shell = listOf("sh", "-c", "ulimit -n ${limits.descriptors}; exec \"$@\"", "sh")
        val program = listOf("-cp", System.getProperty("java.class.path"), MAIN_CLASS, "front")
        val settings = listOf(
            "--zone" to "a",
            "--instance-name" to name,
            "--caller-address" to addresses.callers.toString(),
            "--ready-address" to addresses.ready.toString(),
            "--relay-address" to addresses.relay.toString(),
            "--handover-address" to addresses.handover.toString(),
            "--store-address" to addresses.store.toString(),
            "--relays" to addresses.relays.joinToString(","),
            "--grace-time-s" to GRACE_SECONDS.toString()
        ).flatMap { (flag, value) -> listOf(flag, value) }
        return ProcessBuilder(shell + java + options + program + settings)
            .apply { environment().putAll(limits.environment) }
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start()
    }

    /** Sends SIGTERM and waits for the exit; sends SIGKILL after the grace time. */
    fun stop(): Stopped {
        val startedNanos = System.nanoTime()
        process.destroy()
        val ended = process.waitFor(GRACE_SECONDS, TimeUnit.SECONDS)
        val took = Duration.ofNanos(System.nanoTime() - startedNanos)
        if (!ended) kill()
        return Stopped(if (ended) process.exitValue() else null, took)
    }

    /** Sends SIGKILL and waits for the exit. */
    fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Starts a new process; the previous one must have exited. */
    fun relaunch() {
        process = launch()
    }

    /** Sends [signal], such as STOP. */
    fun signal(signal: String) {
        ProcessBuilder("kill", "-$signal", process.pid().toString()).start().waitFor()
    }

    /** Whether the instance accepts connections from callers. */
    fun isListening(): Boolean = ignoringFailures {
        Socket(InetAddress.getByName(callers.host), callers.port).close()
    } != null

    /** Whether the instance answers its readiness endpoint with 200. */
    fun isReady(): Boolean = try {
        Socket(InetAddress.getByName(addresses.ready.host), addresses.ready.port).use { socket ->
            socket.soTimeout = 1_000
            val request = "GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"
            socket.getOutputStream().write(request.encodeToByteArray())
            socket.getInputStream().bufferedReader().readLine().orEmpty().contains(" 200 ")
        }
    } catch (_: IOException) {
        false
    }
}
