package org.wisteriahinge.bench

import java.io.Closeable
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.adapters.caller.ListeningSocket
import org.wisteriahinge.app.FrontInstance
import org.wisteriahinge.app.FrontSettings
import org.wisteriahinge.app.PlatformEndpoints
import org.wisteriahinge.app.PropagationBounds
import org.wisteriahinge.app.RetryBudgetSettings
import org.wisteriahinge.bench.soak.LoopbackProxy
import org.wisteriahinge.bench.standin.StandInPlatformTarget
import org.wisteriahinge.bench.standin.StandInStore
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.runtime.MonotonicClock

private const val ZONE = "zone-a"
private const val SERVICE = "s-1"

/**
 * A store with targets, which are reached through proxies, and instances that read it.
 *
 * A deployment that is [sharing] the targets of another one reaches them through proxies of its
 * own, so that its links break apart from those of the other.
 */
internal class FrontDeployment(
    targets: Int = 2,
    private val sharing: FrontDeployment? = null,
    private val bounds: PropagationBounds = PropagationBounds()
) : Closeable {
    val store = StandInStore()
    val targets: List<StandInPlatformTarget> =
        sharing?.targets ?: List(targets) { StandInPlatformTarget("i-${it + 1}") }
    private val targetPorts: List<Int> = sharing?.targetPorts ?: this.targets.map { it.start() }
    private val storeAddress = Address("127.0.0.1", store.start())
    val links = targetPorts.map { port -> LoopbackProxy(port).also { it.start() } }
    private val client = HttpClient.newHttpClient()

    init {
        store.put("keyed.op", "config", configuration(version = 3))
        this.targets.indices.forEach { register(it) }
    }

    fun register(index: Int, state: String = "ready") {
        val target = targets[index]
        val entry = target.entry(SERVICE, ZONE, links[index].listenPort, state)
        store.put("keyed.servers", target.id, entry)
    }

    fun start(
        relays: PersistentList<Address> = persistentListOf(),
        relay: Address? = null,
        name: String = "front-1"
    ): RunningFront = prepare(relays, relay, name).also { it.instance.start() }

    /** An instance whose socket is open and that was not started yet. */
    fun prepare(
        relays: PersistentList<Address> = persistentListOf(),
        relay: Address? = null,
        name: String = "front-1"
    ): RunningFront {
        val socket = ListeningSocket.open("127.0.0.1", 0)
        val callers = Address("127.0.0.1", socket.port)
        val ready = Address("127.0.0.1", freePort())
        val settings = settings(callers, ready, relays, relay, name)
        val instance = FrontInstance(settings, MonotonicClock(), socket)
        return RunningFront(instance, callers, ready, settings.handover)
    }

    private fun settings(
        callers: Address,
        ready: Address,
        relays: PersistentList<Address>,
        relay: Address?,
        name: String
    ) = FrontSettings(
        name = name,
        zone = Zone(ZONE),
        callers = callers,
        ready = ready,
        platform = PlatformEndpoints(storeAddress, relays, relay),
        gracePeriod = Duration.ofSeconds(2),
        retryBudget = RetryBudgetSettings(ratio = 0.2, window = Duration.ofSeconds(10)),
        defaultTimeout = Duration.ofSeconds(5),
        maxTimeout = Duration.ofSeconds(10),
        bodyMemoryBytes = 1_048_576,
        seed = 1,
        handover = Address("127.0.0.1", freePort()),
        bounds = bounds
    )

    fun status(address: Address): Int = send(address, "/api/ready").statusCode()

    fun send(
        address: Address,
        path: String,
        body: String? = null,
        id: String = "r-1",
        key: String? = null
    ): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI("http://$address$path"))
            .timeout(Duration.ofSeconds(10))
            .header("Wisteriahinge-Request-Id", id)
            .header("Wisteriahinge-Deadline-Ms", "2000")
        if (key != null) request.header("Authorization", "Bearer $key")
        if (body != null) request.POST(HttpRequest.BodyPublishers.ofString(body))
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString())
    }

    override fun close() {
        links.forEach { it.close() }
        if (sharing == null) targets.forEach { it.close() }
        store.close()
    }
}

/** An instance and its addresses. */
internal class RunningFront(
    val instance: FrontInstance,
    val callers: Address,
    val ready: Address,
    val handover: Address?
) : Closeable {
    override fun close() = instance.close()
}

internal fun freePort(): Int = ServerSocket(0).use { it.localPort }

internal fun configuration(version: Int, prefix: String = "/x/"): String =
    """{"version":$version,"routes":{"columns":["name","host","pathPrefix","kind","timeoutMs",""" +
        """"sloMs","priority","backends","maxAttempts","service"],"rows":[""" +
        """["r-1","127.0.0.1","$prefix","safe",1500,250,2,null,2,"$SERVICE"],""" +
        """["r-2","127.0.0.1","/w/","unsafe",1500,250,1,null,2,"$SERVICE"]]},""" +
        """"services":{"columns":["name","healthPath","maxConns"],""" +
        """"rows":[["$SERVICE","/health",260]]},"limits":{"maxHeaderBytes":16384,""" +
        """"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"""

internal fun await(what: String, condition: () -> Boolean) {
    val until = System.nanoTime() + Duration.ofSeconds(20).toNanos()
    while (!condition()) {
        check(System.nanoTime() < until) { "no $what within 20 s" }
        Thread.sleep(20)
    }
}
