package org.wisteriahinge.bench

import java.io.Closeable
import java.net.ServerSocket
import java.net.Socket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Test
import org.wisteriahinge.adapters.caller.ListeningSocket
import org.wisteriahinge.app.FrontInstance
import org.wisteriahinge.app.FrontSettings
import org.wisteriahinge.app.PlatformEndpoints
import org.wisteriahinge.app.RetryBudgetSettings
import org.wisteriahinge.bench.standin.StandInPlatformTarget
import org.wisteriahinge.bench.standin.StandInStore
import org.wisteriahinge.bench.standin.StoreBehaviour
import org.wisteriahinge.bench.standin.TargetBehaviour
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.runtime.MonotonicClock
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

private const val ZONE = "zone-a"
private const val SERVICE = "s-1"

/** A request that is sent before the instance reads its connections. */
private const val EARLY_REQUEST =
    "GET /x/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nWisteriahinge-Request-Id: r-1\r\n" +
        "Wisteriahinge-Deadline-Ms: 10000\r\n\r\n"

/** Guards against a path on the users' platform that breaks between its parts. */
class FrontPathTest {
    /** A store with two targets and one instance that reads it. */
    private class Deployment : Closeable {
        val store = StandInStore()
        val targets = listOf(StandInPlatformTarget("i-1"), StandInPlatformTarget("i-2"))
        private val storeAddress = Address("127.0.0.1", store.start())
        private val ports = targets.map { it.start() }
        private val client = HttpClient.newHttpClient()

        init {
            store.put("keyed.op", "config", configuration(version = 3))
            targets.indices.forEach { register(it) }
        }

        fun register(index: Int, state: String = "ready") {
            val target = targets[index]
            val entry = target.entry(SERVICE, ZONE, ports[index], state)
            store.put("keyed.servers", target.id, entry)
        }

        fun start(
            relays: PersistentList<Address> = persistentListOf(),
            relay: Address? = null
        ): Running = prepare(relays, relay).also { it.instance.start() }

        /** An instance whose socket is open and that was not started yet. */
        fun prepare(
            relays: PersistentList<Address> = persistentListOf(),
            relay: Address? = null
        ): Running {
            val socket = ListeningSocket.open("127.0.0.1", 0)
            val callers = Address("127.0.0.1", socket.port)
            val ready = Address("127.0.0.1", freePort())
            val settings = settings(callers, ready, relays, relay)
            return Running(FrontInstance(settings, MonotonicClock(), socket), callers, ready)
        }

        private fun settings(
            callers: Address,
            ready: Address,
            relays: PersistentList<Address>,
            relay: Address?
        ) = FrontSettings(
            name = "front-1",
            zone = Zone(ZONE),
            callers = callers,
            ready = ready,
            platform = PlatformEndpoints(storeAddress, relays, relay),
            gracePeriod = Duration.ofSeconds(2),
            retryBudget = RetryBudgetSettings(ratio = 0.2, window = Duration.ofSeconds(10)),
            defaultTimeout = Duration.ofSeconds(5),
            maxTimeout = Duration.ofSeconds(10),
            bodyMemoryBytes = 1_048_576,
            seed = 1
        )

        fun status(address: Address): Int = send(address, "/api/ready").statusCode()

        fun send(
            address: Address,
            path: String,
            body: String? = null,
            id: String = "r-1"
        ): HttpResponse<String> {
            val request = HttpRequest.newBuilder(URI("http://$address$path"))
                .timeout(Duration.ofSeconds(10))
                .header("Wisteriahinge-Request-Id", id)
                .header("Wisteriahinge-Deadline-Ms", "2000")
            if (body != null) request.POST(HttpRequest.BodyPublishers.ofString(body))
            return client.send(request.build(), HttpResponse.BodyHandlers.ofString())
        }

        override fun close() {
            targets.forEach { it.close() }
            store.close()
        }
    }

    private class Running(val instance: FrontInstance, val callers: Address, val ready: Address) :
        Closeable {
        override fun close() = instance.close()
    }

    @Test
    fun `a request that comes before the start is served after it`() {
        Deployment().use { deployment ->
            deployment.prepare().use { running ->
                Socket(running.callers.host, running.callers.port).use { early ->
                    early.soTimeout = 10_000
                    early.getOutputStream().write(EARLY_REQUEST.encodeToByteArray())
                    running.instance.start()
                    expectThat(early.getInputStream().bufferedReader().readLine())
                        .isEqualTo("HTTP/1.1 200 OK")
                }
            }
        }
    }

    @Test
    fun `requests reach a target of their route and bring its whole answer back`() {
        Deployment().use { deployment ->
            deployment.start().use { running ->
                await("ready") { deployment.status(running.ready) == 200 }
                val read = deployment.send(running.callers, "/x/1?q=%20a")
                expectThat(read.statusCode()).isEqualTo(200)
                expectThat(read.body()).isEqualTo("/x/1?q=%20a 0")
                expectThat(read.headers().firstValue("Wisteriahinge-Server-Stamp").get())
                    .isEqualTo("stamp-r-1")
                val written = deployment.send(running.callers, "/w/1", "x".repeat(100_000), "r-2")
                expectThat(written.body()).isEqualTo("/w/1 100000")
                expectThat(deployment.send(running.callers, "/none/").statusCode()).isEqualTo(404)
                expectThat(deployment.targets.sumOf { t -> t.ranIds.count { it == "r-2" } })
                    .isEqualTo(1)
            }
        }
    }

    @Test
    fun `a newer configuration and a draining target take effect`() {
        Deployment().use { deployment ->
            deployment.start().use { running ->
                await("ready") { deployment.status(running.ready) == 200 }
                deployment.register(0, state = "draining")
                deployment.store.put("keyed.op", "config", configuration(4, prefix = "/y/"))
                await("new route") { deployment.send(running.callers, "/y/1").statusCode() == 200 }
                expectThat(deployment.send(running.callers, "/x/1").statusCode()).isEqualTo(404)
                await("drain") { deployment.sendSome(running) == 0 }
            }
        }
    }

    /** Requests that the first target ran out of a few. */
    private fun Deployment.sendSome(running: Running): Int {
        val before = targets[0].ranIds.size
        repeat(6) { send(running.callers, "/y/$it") }
        return targets[0].ranIds.size - before
    }

    @Test
    fun `requests that every target rejects are told when to come back`() {
        Deployment().use { deployment ->
            deployment.start().use { running ->
                await("ready") { deployment.status(running.ready) == 200 }
                deployment.targets.forEach { it.behave(TargetBehaviour(draining = true)) }
                val refused = deployment.send(running.callers, "/w/1", "body")
                expectThat(refused.statusCode()).isEqualTo(503)
                expectThat(refused.headers().firstValue("Retry-After").get().toDouble())
                    .isLessThan(1.0)
                expectThat(deployment.targets.flatMap { it.ranIds }).isEqualTo(emptyList())
            }
        }
    }

    @Test
    fun `a request that the limits of all targets forbid is refused as not run`() {
        Deployment().use { deployment ->
            deployment.targets.forEach { it.limitPerSecond = 0.0 }
            deployment.start().use { running ->
                await("ready") { deployment.status(running.ready) == 200 }
                val answer = deployment.send(running.callers, "/x/1")
                expectThat(answer.statusCode()).isEqualTo(503)
                expectThat(answer.body()).contains("targets_at_rate_limit")
                expectThat(deployment.targets.flatMap { it.ranIds }).isEmpty()
            }
        }
    }

    @Test
    fun `the store may go away, forget its history and return`() {
        Deployment().use { deployment ->
            deployment.start().use { running ->
                await("ready") { deployment.status(running.ready) == 200 }
                deployment.store.behave(StoreBehaviour.Down)
                Thread.sleep(1_500)
                expectThat(deployment.send(running.callers, "/x/1").statusCode()).isEqualTo(200)
                deployment.store.put("keyed.op", "config", configuration(5, prefix = "/z/"))
                deployment.store.forget("keyed.op")
                deployment.store.forget("keyed.servers")
                deployment.store.behave(StoreBehaviour.Up)
                await("new route") { deployment.send(running.callers, "/z/1").statusCode() == 200 }
            }
        }
    }

    @Test
    fun `an instance that follows a relay makes no calls to the store`() {
        Deployment().use { deployment ->
            val relay = Address("127.0.0.1", freePort())
            val relays = persistentListOf(relay)
            deployment.start(relays, relay).use { hub ->
                await("hub ready") { deployment.status(hub.ready) == 200 }
                val before = deployment.store.callCount
                deployment.start(relays).use { follower ->
                    await("follower ready") { deployment.status(follower.ready) == 200 }
                    deployment.store.put("keyed.op", "config", configuration(6, prefix = "/v/"))
                    await("new route") {
                        deployment.send(follower.callers, "/v/1").statusCode() == 200
                    }
                    // The hub alone reads about once a second.
                    expectThat(deployment.store.callCount - before).isLessThan(12)
                }
            }
        }
    }

    @Test
    fun `a relay behind another one makes no calls to the store and takes over from it`() {
        Deployment().use { deployment ->
            val relays = List(2) { Address("127.0.0.1", freePort()) }
                .sortedBy { it.toString() }.toPersistentList()
            val first = deployment.start(relays, relays[0])
            await("first ready") { deployment.status(first.ready) == 200 }
            val before = deployment.store.callCount
            deployment.start(relays, relays[1]).use { second ->
                await("second ready") { deployment.status(second.ready) == 200 }
                deployment.store.put("keyed.op", "config", configuration(6, prefix = "/v/"))
                await("new route") { deployment.send(second.callers, "/v/1").statusCode() == 200 }
                expectThat(deployment.store.callCount - before).isLessThan(12)
                first.close()
                deployment.store.put("keyed.op", "config", configuration(7, prefix = "/u/"))
                await("next route") { deployment.send(second.callers, "/u/1").statusCode() == 200 }
            }
        }
    }

    @Test
    fun `a stop lets callers go elsewhere first and cuts nothing off`() {
        Deployment().use { deployment ->
            deployment.start().use { running ->
                await("ready") { deployment.status(running.ready) == 200 }
                val stop = Thread { running.instance.drain() }.apply { start() }
                await("not ready") { deployment.status(running.ready) == 503 }
                val answer = deployment.send(running.callers, "/x/1")
                expectThat(answer.statusCode()).isEqualTo(200)
                expectThat(answer.headers().firstValue("Connection").get()).isEqualTo("close")
                stop.join()
            }
        }
    }
}

private fun freePort(): Int = ServerSocket(0).use { it.localPort }

private fun configuration(version: Int, prefix: String = "/x/"): String =
    """{"version":$version,"routes":{"columns":["name","host","pathPrefix","kind","timeoutMs",""" +
        """"sloMs","priority","backends","maxAttempts","service"],"rows":[""" +
        """["r-1","127.0.0.1","$prefix","safe",1500,250,2,null,2,"$SERVICE"],""" +
        """["r-2","127.0.0.1","/w/","unsafe",1500,250,1,null,2,"$SERVICE"]]},""" +
        """"services":{"columns":["name","healthPath","maxConns"],""" +
        """"rows":[["$SERVICE","/health",260]]},"limits":{"maxHeaderBytes":16384,""" +
        """"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"""

private fun await(what: String, condition: () -> Boolean) {
    val until = System.nanoTime() + Duration.ofSeconds(20).toNanos()
    while (!condition()) {
        check(System.nanoTime() < until) { "no $what within 20 s" }
        Thread.sleep(20)
    }
}
