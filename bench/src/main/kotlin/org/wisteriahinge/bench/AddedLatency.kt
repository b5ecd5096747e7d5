package org.wisteriahinge.bench

import com.sun.management.OperatingSystemMXBean
import com.sun.management.ThreadMXBean
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.io.Closeable
import java.lang.management.ManagementFactory
import java.net.HttpURLConnection
import java.net.URI
import java.time.Clock
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.wisteriahinge.app.Instance
import org.wisteriahinge.bench.standin.StandInLog
import org.wisteriahinge.bench.standin.StandInTarget

private const val RATE_PER_SECOND = 1_000
private const val WARM_UP_REQUESTS = 12_000
private const val MEASURED_REQUESTS = 20_000
private const val CONNECTIONS = 16
private const val NANOS_PER_SECOND = 1_000_000_000L
private const val NANOS_PER_MICRO = 1_000.0
private const val READY = 200
private const val POLL_MILLIS = 20L

/**
 * Measures the time that one instance adds to a call.
 *
 * Requests arrive on an open loop at [RATE_PER_SECOND] for each path, direct and through the
 * instance in turn, so that both meet the same state of the machine. Times are from the planned
 * arrival, so that a stall is not hidden. Processor time and allocation are of the whole process:
 * the instance, the stand-ins and the load tool, for one direct and one request through.
 */
internal class AddedLatency(private val seed: Int) : Closeable {
    private val log = StandInLog()
    private val target = StandInTarget("lookup", SLOTS)
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    /** Runs the scenario and returns its result as one JSON object. */
    fun run(): String {
        val logUrl = "http://127.0.0.1:${log.start()}"
        val targetPort = target.start()
        publishLookup(logUrl, listOf(targetPort))
        return Instance(settings(logUrl, connections = CONNECTIONS), Clock.systemUTC()).use {
            val ports = it.start()
            awaitReady(ports.admin)
            measure(
                LoadPath(group, targetPort, CONNECTIONS),
                LoadPath(group, ports.caller, CONNECTIONS)
            )
        }
    }

    private fun measure(direct: LoadPath, through: LoadPath): String {
        direct.open()
        through.open()
        drive(direct, through, WARM_UP_REQUESTS)
        direct.reset()
        through.reset()
        val before = ProcessUse.now()
        drive(direct, through, MEASURED_REQUESTS)
        val after = ProcessUse.now()
        return buildJsonObject {
            put("scenario", "added-latency")
            put("seed", seed)
            put("direct_p50_us", direct.micros(50.0))
            put("direct_p99_us", direct.micros(99.0))
            put("through_p50_us", through.micros(50.0))
            put("through_p99_us", through.micros(99.0))
            put("added_p50_us", through.micros(50.0) - direct.micros(50.0))
            put("added_p99_us", through.micros(99.0) - direct.micros(99.0))
            put("requests", direct.times.totalCount + through.times.totalCount)
            put("errors", direct.errors + through.errors)
            put("rate_per_second", RATE_PER_SECOND)
            put("cpu_us_per_pair", (after.cpuNanos - before.cpuNanos).perPair() / NANOS_PER_MICRO)
            put(
                "allocated_bytes_per_pair",
                (after.allocatedBytes - before.allocatedBytes).perPair()
            )
        }.toString()
    }

    private fun Long.perPair(): Double = toDouble() / MEASURED_REQUESTS

    private fun drive(direct: LoadPath, through: LoadPath, pairs: Int) {
        val interval = NANOS_PER_SECOND / (2 * RATE_PER_SECOND)
        val start = System.nanoTime() + interval
        repeat(pairs * 2) { index ->
            val due = start + index * interval
            while (System.nanoTime() < due) LockSupport.parkNanos(due - System.nanoTime())
            val path = if ((index + seed) % 2 == 0) direct else through
            path.send(index, due)
        }
        direct.awaitIdle()
        through.awaitIdle()
    }

    private fun awaitReady(adminPort: Int) {
        val url = URI("http://127.0.0.1:$adminPort/ready").toURL()
        while ((url.openConnection() as HttpURLConnection).responseCode != READY) {
            Thread.sleep(POLL_MILLIS)
        }
    }

    override fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
        target.close()
        log.close()
    }
}

/** What the process has used since its start. */
private class ProcessUse(val cpuNanos: Long, val allocatedBytes: Long) {
    companion object {
        fun now(): ProcessUse {
            val system = ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean
            val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
            val allocated = threads.getThreadAllocatedBytes(threads.allThreadIds)
            return ProcessUse(system.processCpuTime, allocated.filter { it > 0 }.sum())
        }
    }
}
