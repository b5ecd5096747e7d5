package org.wisteriahinge.bench.demo

import com.github.f4b6a3.uuid.UuidCreator
import com.github.michaelbull.result.get
import java.io.Closeable
import java.net.ServerSocket
import java.time.Clock
import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.adapters.instances.WireInstance
import org.wisteriahinge.adapters.instances.WireInstanceState
import org.wisteriahinge.adapters.lists.readLists
import org.wisteriahinge.adapters.log.HttpPlatformLog
import org.wisteriahinge.adapters.log.Publication
import org.wisteriahinge.adapters.log.PublicationOutcome
import org.wisteriahinge.adapters.log.Publisher
import org.wisteriahinge.app.Instance
import org.wisteriahinge.app.InstancePorts
import org.wisteriahinge.app.InstanceSettings
import org.wisteriahinge.app.PeerSettings
import org.wisteriahinge.bench.CREDENTIAL_KEY
import org.wisteriahinge.bench.SLOTS
import org.wisteriahinge.bench.standin.StandInInstanceList
import org.wisteriahinge.bench.standin.StandInLog
import org.wisteriahinge.bench.standin.StandInTarget
import org.wisteriahinge.core.configuration.ListReader
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.core.model.Zone

private const val PEER_KEY = "demo-peer-key"
private val LOG_TIMEOUT: Duration = Duration.ofSeconds(5)
private val READ_BACK_PAUSE: Duration = Duration.ofMillis(100)
private val listReader = ListReader { lists, revision -> readLists(lists, revision).get() }

/** A target with its place. */
internal class PlacedTarget(val zone: String, val target: StandInTarget, port: Int) {
    val listed = ListedTarget(target.name, zone, port)
}

/** A running instance with its ports. */
internal class RunningInstance(val name: String, val instance: Instance, val ports: InstancePorts)

/** Stand-ins for the platform and the backend servers, and instances in two zones. */
internal class DemoDeployment : Closeable {
    val log = StandInLog()
    private val logUrl = "http://127.0.0.1:${log.start()}"
    private val list = StandInInstanceList()
    private val listUrl = "http://127.0.0.1:${list.start()}"
    val lookups = targets("lookup", count = 4)
    val bookings = targets("booking", count = 2)
    val instances: PersistentList<RunningInstance> = startInstances()

    private fun targets(prefix: String, count: Int): PersistentList<PlacedTarget> =
        (1..count).map { number ->
            val target = StandInTarget("$prefix-$number", SLOTS)
            PlacedTarget("zone-${'a' + number % 2}", target, target.start())
        }.toPersistentList()

    private fun startInstances(): PersistentList<RunningInstance> {
        val zones = persistentListOf("zone-a", "zone-b", "zone-b")
        val peerPorts = freePorts(zones.size)
        list.show(
            zones.mapIndexed { index, zone ->
                val address = "127.0.0.1:${peerPorts[index]}"
                WireInstance("instance-${index + 1}", address, zone, WireInstanceState.Live)
            }.toPersistentList()
        )
        return zones.mapIndexed { index, zone ->
            val name = "instance-${index + 1}"
            val instance = Instance(settings(name, zone, peerPorts[index]), Clock.systemUTC())
            RunningInstance(name, instance, instance.start())
        }.toPersistentList()
    }

    private fun settings(name: String, zone: String, peerPort: Int) = InstanceSettings(
        zone = Zone(zone),
        callerHost = "127.0.0.1",
        callerPort = 0,
        logUrl = logUrl,
        credentialKey = CREDENTIAL_KEY,
        seed = 1,
        peers = PeerSettings(name, Zone(zone), "127.0.0.1", peerPort, listUrl, PEER_KEY)
    )

    /** Publishes lists with [lookups] in place of the revision [replaces]. */
    fun publish(replaces: Long, lookups: List<PlacedTarget>): PublicationOutcome =
        HttpPlatformLog(logUrl, LOG_TIMEOUT).use { client ->
            val lists = demoLists(lookups.map { it.listed }, bookings.map { it.listed })
            val id = UuidCreator.getTimeOrderedEpoch().toString()
            Publisher(
                client,
                listReader,
                READ_BACK_PAUSE
            ).publish(Publication(id, RevisionNumber(replaces), lists))
        }

    override fun close() {
        instances.forEach { it.instance.close() }
        (lookups + bookings).forEach { it.target.close() }
        list.close()
        log.close()
    }
}

/** Ports that were free a moment ago; the instance list must name them before the start. */
private fun freePorts(count: Int): List<Int> {
    val sockets = List(count) { ServerSocket(0) }
    return sockets.map { socket -> socket.use { it.localPort } }
}
