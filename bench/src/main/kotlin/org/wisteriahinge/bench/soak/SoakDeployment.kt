package org.wisteriahinge.bench.soak

import java.io.Closeable
import java.io.File
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.bench.standin.StandInPlatformTarget
import org.wisteriahinge.bench.standin.StandInStore
import org.wisteriahinge.bench.standin.StoreCopy
import org.wisteriahinge.bench.standin.StoreView
import org.wisteriahinge.core.model.Address

private const val SERVICE = "s-1"
private const val ZONE = "a"
private const val RELAYS = 3
private const val TARGET_RESTART_MILLIS = 700L
private const val LOCALHOST = "127.0.0.1"

/** Ports of instances; a random start keeps deployments apart that run at the same time. */
private const val FIRST_PORT = 15_000
private const val LAST_START = 30_000
private val nextPort = AtomicInteger(Random.nextInt(FIRST_PORT, LAST_START))

/**
 * A store, targets, and instances as processes, with a fault-injecting proxy on each link.
 *
 * Without [relays], each instance reads the store itself and so uses its own links to the targets;
 * otherwise instances use the links of the relay that they follow.
 */
internal class SoakDeployment(size: SoakSize, logs: File, relays: Boolean = true) : Closeable {
    val store = StandInStore()
    val targets: PersistentList<StandInPlatformTarget> =
        List(size.targets) { StandInPlatformTarget("i-$it") }.toPersistentList()

    /** The links of each instance to all targets. */
    val targetLinks: PersistentList<PersistentList<LoopbackProxy>>
    val storeLinks: PersistentList<LoopbackProxy>
    private val targetPorts: List<Int>
    val instances: PersistentList<SoakInstance>

    /** One lock for each instance, held while the instance is started, stopped or signalled. */
    val locks = List(size.instances) { ReentrantLock() }.toPersistentList()

    /** Version of the newest configuration in the store. */
    val version = AtomicInteger()
    private val entries = AtomicLong()
    private val states = AtomicReference(persistentHashMapOf<Int, String>())

    init {
        targetPorts = targets.map { it.start() }
        targetLinks = List(size.instances) {
            targetPorts.map { LoopbackProxy(it) }.toPersistentList()
        }.toPersistentList()
        storeLinks = targetLinks.map { LoopbackProxy(store.start(viewThrough(it))) }
            .toPersistentList()
        (targetLinks.flatten() + storeLinks).forEach { it.start() }
        targets.indices.forEach { index -> targets[index].onCrash = { endTarget(index) } }
        configure()
        publishEntries()
        val relayAddresses = if (relays) {
            List(minOf(RELAYS, size.instances)) { freeAddress() }.toPersistentList()
        } else {
            persistentListOf()
        }
        instances = List(size.instances) { index ->
            val addresses = SoakAddresses(
                callers = freeAddress(),
                ready = freeAddress(),
                relay = relayAddresses.getOrNull(index) ?: freeAddress(),
                handover = freeAddress(),
                store = Address(LOCALHOST, storeLinks[index].listenPort),
                relays = relayAddresses
            )
            SoakInstance("soak-$index", addresses, File(logs, "instance-$index.log"))
        }.toPersistentList()
    }

    /** The links of all instances to one target. */
    fun linksTo(target: Int): List<LoopbackProxy> = targetLinks.map { it[target] }

    /** Shows the addresses of [links] in place of those of the targets. */
    private fun viewThrough(links: List<LoopbackProxy>) = StoreView { topic, value ->
        if (topic != "keyed.servers") return@StoreView value
        val text = value.decodeToString()
        targetPorts.zip(links).fold(text) { all, (port, link) ->
            all.replace("\"$LOCALHOST:$port\"", "\"$LOCALHOST:${link.listenPort}\"")
        }.encodeToByteArray()
    }

    /** Writes the next configuration to the store and returns its version. */
    fun configure(): Int {
        val next = version.get() + 1
        store.put("keyed.op", "config", configuration(next))
        version.set(next)
        return next
    }

    /** Restores the store from [copy]; the operator and the targets then write again. */
    fun restore(copy: StoreCopy) {
        store.restore(copy)
        store.put("keyed.op", "config", configuration(version.get()))
        publishEntries()
    }

    /** Renews the entry of each target in the store. */
    fun publishEntries() = targets.indices.forEach { announce(it, states.get()[it] ?: "ready") }

    /** Writes the entry of a target with [state] to the store. */
    fun announce(target: Int, state: String) {
        states.updateAndGet { it.put(target, state) }
        val port = targetPorts[target]
        val entry = targets[target].entry(SERVICE, ZONE, port, state, entries.incrementAndGet())
        store.put("keyed.servers", targets[target].id, entry)
    }

    /** Ends the connections of a target and refuses new ones, as while its process restarts. */
    private fun endTarget(target: Int) {
        linksTo(target).forEach { it.setMode(LinkMode.Refusing) }
        thread(isDaemon = true) {
            Thread.sleep(TARGET_RESTART_MILLIS)
            linksTo(target).forEach { it.setMode(LinkMode.Open) }
        }
    }

    private fun configuration(version: Int): String =
        """{"version":$version,"routes":{"columns":["name","host","pathPrefix","kind",""" +
            """"timeoutMs","sloMs","priority","backends","maxAttempts","service"],"rows":[""" +
            """["r-1","$LOCALHOST","/x/","safe",1500,250,2,null,2,"$SERVICE"],""" +
            """["r-2","$LOCALHOST","/w/","unsafe",1500,300,1,null,2,"$SERVICE"],""" +
            """["r-3","$LOCALHOST","/g$version/","safe",1500,250,2,null,2,"$SERVICE"]]},""" +
            """"services":{"columns":["name","healthPath","maxConns"],""" +
            """"rows":[["$SERVICE","/health",260]]},"limits":{"maxHeaderBytes":16384,""" +
            """"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"""

    override fun close() {
        instances.forEach { it.kill() }
        (targetLinks.flatten() + storeLinks).forEach { it.close() }
        targets.forEach { it.close() }
        store.close()
    }
}

/**
 * Returns an address at which nothing listens, with a port that the kernel gives to no outgoing
 * connection, so that it is still free when an instance starts.
 */
internal fun freeAddress(): Address {
    val port = generateSequence { nextPort.getAndIncrement() }.first(::isFree)
    return Address(LOCALHOST, port)
}

private fun isFree(port: Int): Boolean = ignoringFailures { ServerSocket(port).close() } != null
