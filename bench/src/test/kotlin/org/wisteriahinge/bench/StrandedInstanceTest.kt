package org.wisteriahinge.bench

import java.io.Closeable
import java.net.Socket
import java.time.Duration
import kotlin.concurrent.thread
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.wisteriahinge.bench.soak.LinkMode
import org.wisteriahinge.bench.standin.TargetBehaviour
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

private const val TARGETS = 6
private const val SENDS = 30

/** With the other fields, a head of nearly the limit. */
private const val LONG_FIELD = 1_850
private const val HEAD_LIMIT = "2048"
private const val INSTANCES_TOPIC = "keyed.instances"
private val CALLS_IN_PROGRESS = Regex(""""calls_in_progress":(\d+)""")

/** The users' bound on the time after which callers of such an instance are served. */
private val REACTION_TIME: Duration = Duration.ofSeconds(3)

/** Guards against callers who are not served because their instance lost its links to targets. */
class StrandedInstanceTest {
    @ParameterizedTest
    @ValueSource(strings = ["Blackhole", "Refusing", "Resetting", "NoAnswers"])
    fun `callers of an instance without links to targets are served through another one`(
        mode: String
    ) {
        TwoInstances().use { pair ->
            pair.cutFirst(modeNamed(mode))
            val until = System.nanoTime() + REACTION_TIME.toNanos()
            while (System.nanoTime() < until) pair.sendToFirst("/x/early", "early")
            val served = (1..SENDS).count { number ->
                val path = if (number % 2 == 0) "/x/$number" else "/w/$number"
                pair.sendToFirst(path, "late-$number") == 200
            }
            expectThat(served).isEqualTo(SENDS)
            expectThat(pair.idsThatRanTwice("late-")).isEmpty()
        }
    }

    @Test
    fun `an instance whose links are back uses them again`() {
        TwoInstances().use { pair ->
            pair.cutFirst(LinkMode.Refusing)
            await("answer through the other instance") { pair.sendToFirst("/x/1", "a") == 200 }
            pair.first.links.forEach { it.setMode(LinkMode.Open) }
            await("answer over the own links") {
                pair.second.links.forEach { it.setMode(LinkMode.Refusing) }
                pair.sendToFirst("/x/2", "b") == 200
            }
        }
    }

    @Test
    fun `calls that no instance can serve are refused at once and go in no circle`() {
        TwoInstances().use { pair ->
            pair.cutFirst(LinkMode.Refusing)
            pair.second.links.forEach { it.setMode(LinkMode.Refusing) }
            repeat(SENDS) { pair.sendToFirst("/x/$it", "early-$it") }
            val started = System.nanoTime()
            val answer = pair.first.send(pair.firstFront.callers, "/w/1", "body", "late")
            expectThat(answer.statusCode()).isEqualTo(503)
            expectThat(answer.headers().firstValue("Retry-After").isPresent).isEqualTo(true)
            expectThat(Duration.ofNanos(System.nanoTime() - started))
                .isLessThan(Duration.ofMillis(500))
        }
    }

    @Test
    fun `a request whose head is as long as the limit allows is handed over`() {
        TwoInstances().use { pair ->
            pair.limitHeads()
            pair.cutFirst(LinkMode.Refusing)
            await("answer through the other instance") { pair.sendToFirst("/y/1", "a") == 200 }
            val address = pair.firstFront.callers
            val answer = Socket(address.host, address.port).use { socket ->
                socket.soTimeout = 10_000
                val request = "GET /y/long HTTP/1.1\r\nHost: 127.0.0.1\r\n" +
                    "Wisteriahinge-Request-Id: long\r\nWisteriahinge-Deadline-Ms: 2000\r\n" +
                    "X-Long: ${"x".repeat(LONG_FIELD)}\r\n\r\n"
                socket.getOutputStream().write(request.encodeToByteArray())
                socket.getInputStream().bufferedReader().readLine()
            }
            expectThat(answer).contains("200")
        }
    }

    @Test
    fun `an instance takes no calls from strangers`() {
        TwoInstances().use { pair ->
            val address = checkNotNull(pair.secondFront.handover)
            val answer = Socket(address.host, address.port).use { socket ->
                socket.soTimeout = 10_000
                val request = "GET /x/1 HTTP/1.1\r\nHost: 127.0.0.1\r\n" +
                    "Wisteriahinge-Request-Id: stranger\r\nWisteriahinge-Handover: AAAA\r\n\r\n"
                socket.getOutputStream().write(request.encodeToByteArray())
                socket.getInputStream().bufferedReader().readLine()
            }
            expectThat(answer).contains("403")
            expectThat(pair.first.targets.flatMap { it.ranIds }.filter { it == "stranger" })
                .isEmpty()
        }
    }

    @Test
    fun `an instance that is told to stop finishes the calls handed over to it`() {
        TwoInstances().use { pair ->
            pair.cutFirst(LinkMode.Refusing)
            await("answer through the other instance") { pair.sendToFirst("/x/1", "a") == 200 }
            pair.first.targets.forEach {
                it.behave(TargetBehaviour(serviceTime = Duration.ofMillis(700)))
            }
            var status = 0
            val sender = thread { status = pair.sendToFirst("/w/slow", "slow") }
            await("run") { pair.first.targets.any { "slow" in it.ranIds } }
            pair.secondFront.instance.drain()
            sender.join()
            expectThat(status).isEqualTo(200)
        }
    }

    @Test
    fun `a caller that leaves ends its request at the target of another instance`() {
        TwoInstances().use { pair ->
            pair.cutFirst(LinkMode.Refusing)
            await("answer through the other instance") { pair.sendToFirst("/x/1", "a") == 200 }
            pair.first.targets.forEach {
                it.behave(TargetBehaviour(serviceTime = Duration.ofSeconds(20)))
            }
            Socket(pair.firstFront.callers.host, pair.firstFront.callers.port).use { socket ->
                val request = "GET /x/gone HTTP/1.1\r\nHost: 127.0.0.1\r\n" +
                    "Wisteriahinge-Request-Id: gone\r\nWisteriahinge-Deadline-Ms: 5000\r\n\r\n"
                socket.getOutputStream().write(request.encodeToByteArray())
                await("run") { pair.first.targets.any { "gone" in it.ranIds } }
            }
            await("end of the call") { pair.callsAtSecond() == 0 }
            Thread.sleep(Duration.ofMillis(500).toMillis())
            expectThat(pair.first.targets.sumOf { t -> t.ranIds.count { it == "gone" } })
                .isLessThanOrEqualTo(2)
        }
    }

    private fun modeNamed(name: String): LinkMode = when (name) {
        "Blackhole" -> LinkMode.Blackhole
        "Refusing" -> LinkMode.Refusing
        "Resetting" -> LinkMode.Resetting
        else -> LinkMode.NoAnswers
    }
}

/** Two instances with the same targets and links of their own, which know each other. */
private class TwoInstances : Closeable {
    val first = FrontDeployment(TARGETS)
    val second = FrontDeployment(sharing = first)
    val firstFront = first.start(name = "front-1")
    val secondFront = second.start(name = "front-2")

    init {
        listOf(first to firstFront, second to secondFront).forEach { (deployment, front) ->
            await("ready") { deployment.status(front.ready) == 200 }
            await("answer") { deployment.send(front.callers, "/x/warm").statusCode() == 200 }
        }
        await("record") { secondFront.isListedIn(first) }
        // The list of instances is read every 3 s.
        Thread.sleep(Duration.ofMillis(3_500).toMillis())
    }

    private fun RunningFront.isListedIn(deployment: FrontDeployment): Boolean {
        deployment.store.putNewest(INSTANCES_TOPIC, second.store)
        return deployment.store.copy().topics[INSTANCES_TOPIC]?.newest?.containsKey("front-2") ==
            true && handover != null
    }

    fun cutFirst(mode: LinkMode) = first.links.forEach { it.setMode(mode) }

    /** Lowers the limit on heads by a configuration whose routes begin with `/y/`. */
    fun limitHeads() {
        val limited = configuration(version = 4, prefix = "/y/").replace("16384", HEAD_LIMIT)
        listOf(first to firstFront, second to secondFront).forEach { (deployment, front) ->
            deployment.store.put("keyed.op", "config", limited)
            await("configuration") { deployment.send(front.callers, "/y/1").statusCode() == 200 }
        }
    }

    fun sendToFirst(path: String, id: String): Int {
        val body = if (path.startsWith("/w/")) "body" else null
        return first.send(firstFront.callers, path, body, id).statusCode()
    }

    fun callsAtSecond(): Int {
        val status = first.send(secondFront.ready, "/status").body()
        return checkNotNull(CALLS_IN_PROGRESS.find(status)).groupValues[1].toInt()
    }

    fun idsThatRanTwice(prefix: String): Set<String> = first.targets.flatMap { it.ranIds }
        .filter { it.startsWith(prefix) }
        .groupingBy { it }.eachCount().filterValues { it > 1 }.keys

    override fun close() {
        firstFront.close()
        secondFront.close()
        second.close()
        first.close()
    }
}
