package org.wisteriahinge.bench.soak

import java.io.File
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket
import java.time.Duration
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.wisteriahinge.bench.await
import org.wisteriahinge.bench.standin.CRASH_PATH
import org.wisteriahinge.core.model.Address
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo

private const val INSTANCES = 2
private const val TARGETS = 6
private const val CALLERS = 12
private const val SENDS_BY_CALLER = 3
private const val INNOCENT_SENDS = 10
private val SEND_GAP: Duration = Duration.ofMillis(250)
private val DOWN_TIME: Duration = Duration.ofSeconds(1)
private val READ_TIMEOUT: Duration = Duration.ofSeconds(5)

/** The users' bound: retries later than this after the third crash, over all instances. */
private val REACTION_TIME: Duration = Duration.ofSeconds(3)
private const val MAX_LATE_RETRIES = 3

/** Guards against a request that ends targets for each of the addresses that it comes from. */
class CrashingCallersTest {
    @TempDir
    private lateinit var logs: File

    @Test
    fun `a request that ended three targets is refused whichever address it comes from`() {
        SoakDeployment(SoakSize(INSTANCES, TARGETS, Duration.ZERO), logs).use { deployment ->
            deployment.instances.forEach { instance -> await("ready") { instance.isReady() } }
            repeat(CALLERS * SENDS_BY_CALLER) { number ->
                val instance = deployment.instances[number % INSTANCES]
                send(instance.callers, "/x${CRASH_PATH}1", "crash-$number", number % CALLERS)
                Thread.sleep(SEND_GAP.toMillis())
            }
            expectThat(deployment.lateRetries()).isLessThanOrEqualTo(MAX_LATE_RETRIES)
            Thread.sleep(DOWN_TIME.toMillis())
            val served = (1..INNOCENT_SENDS).count { number ->
                val instance = deployment.instances[number % INSTANCES]
                " 200 " in send(instance.callers, "/x/$number", "r-$number", caller = number)
            }
            expectThat(served).isEqualTo(INNOCENT_SENDS)
        }
    }

    private fun SoakDeployment.lateRetries(): Int {
        val crashes = targets.flatMap { it.runs }.filter { it.id.startsWith("crash-") }
            .map { it.nanos }.sorted()
        expectThat(crashes.size).isGreaterThanOrEqualTo(3)
        val boundNanos = crashes[2] + REACTION_TIME.toNanos()
        return crashes.count { it > boundNanos }
    }

    /** Sends a request from the loopback address of [caller] and returns its status line. */
    private fun send(to: Address, path: String, id: String, caller: Int): String =
        Socket().use { socket ->
            socket.bind(InetSocketAddress(InetAddress.getByName("127.0.0.${caller + 2}"), 0))
            socket.soTimeout = READ_TIMEOUT.toMillis().toInt()
            socket.connect(InetSocketAddress(to.host, to.port))
            val head = "GET $path HTTP/1.1\r\nHost: 127.0.0.1\r\n" +
                "Wisteriahinge-Request-Id: $id\r\nWisteriahinge-Deadline-Ms: 2000\r\n" +
                "Connection: close\r\n\r\n"
            socket.getOutputStream().write(head.encodeToByteArray())
            socket.getInputStream().bufferedReader().readLine().orEmpty()
        }
}
