package org.wisteriahinge.adapters.clients

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.Channel
import java.time.Clock
import java.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.call.CallCounter
import org.wisteriahinge.core.clients.ClientAddress
import org.wisteriahinge.core.clients.ClientClosing
import org.wisteriahinge.core.clients.ClientId
import org.wisteriahinge.core.clients.ClientLimits
import org.wisteriahinge.core.clients.evictionForConnection
import org.wisteriahinge.core.clients.evictionsForMemory
import org.wisteriahinge.runtime.EffectSink
import org.wisteriahinge.runtime.LogRateLimit

private val logger = KotlinLogging.logger {}

private const val LINES_PER_SECOND = 1.0
private const val BURST_LINES = 10.0

/** What the pipeline, decoder and buffers of a connection take without a request. */
private const val CONNECTION_BYTES = 6L * 1_024

/** User event: the connection has to make room for others; it is closed after this event. */
internal data object ClientEvicted

/**
 * The connections of all clients of an instance and the memory that they hold.
 *
 * When one of the [limits] is reached, connections without progress are closed as decided by
 * `core.clients`. Used on the I/O thread only.
 */
public class ClientRegistry(
    private val limits: ClientLimits,
    private val clock: Clock,
    private val counters: EffectSink<CallCounter>
) {
    private var clients: PersistentMap<ClientId, TrackedClient> = persistentHashMapOf()
    private var counts: PersistentMap<ClientAddress, Int> = persistentHashMapOf()
    private var heldBytes = 0L
    private var lastId = 0L
    private var lines = LogRateLimit(LINES_PER_SECOND, BURST_LINES)

    /** Adds a new connection to [address], or closes it and returns null if all are in use. */
    internal fun admit(channel: Channel, address: ClientAddress): TrackedClient? {
        val client = TrackedClient(ClientId(++lastId), address, channel, this)
        if (!hasPlace(address) || !hold(client, CONNECTION_BYTES)) {
            closed(client, ClientClosing.NoRoom)
            channel.close()
            return null
        }
        clients = clients.put(client.id, client)
        counts = counts.put(address, countAt(address) + 1)
        channel.closeFuture().addListener { remove(client) }
        return client
    }

    private fun countAt(address: ClientAddress): Int = counts[address] ?: 0

    private fun hasPlace(address: ClientAddress): Boolean =
        countAt(address) < limits.maxConnections(address) || makePlace(address)

    private fun makePlace(address: ClientAddress): Boolean {
        val states = clients.values.filter { it.address == address }.map { it.state }
        val victim = evictionForConnection(states) ?: return false
        evict(victim, ClientClosing.ConnectionsFull)
        return true
    }

    /** Accounts for [bytes] of [client]; false if they do not fit, so that it has to go. */
    internal fun hold(client: TrackedClient, bytes: Long): Boolean {
        if (client.isEvicted) return false
        val missing = heldBytes + bytes - limits.memoryBytes
        if (missing > 0 && !freeMemory(client, missing)) return false
        add(client, bytes)
        return true
    }

    private fun freeMemory(client: TrackedClient, missingBytes: Long): Boolean {
        val others = clients.values.filter { it != client }.map { it.state }
        val stalledNanos = System.nanoTime() - limits.stalledAfter.toNanos()
        val victims = evictionsForMemory(others, missingBytes, stalledNanos)
        victims.forEach { evict(it, ClientClosing.MemoryFull) }
        return victims.isNotEmpty()
    }

    /** Accounts for [bytes] of [client] that are in memory already. */
    internal fun add(client: TrackedClient, bytes: Long) {
        if (client.isEvicted) return
        client.heldBytes += bytes
        heldBytes += bytes
    }

    private fun evict(id: ClientId, reason: ClientClosing) {
        val client = clients[id] ?: return
        remove(client)
        closed(client, reason)
        client.evict()
    }

    private fun remove(client: TrackedClient) {
        if (client.isEvicted) return
        client.isEvicted = true
        clients = clients.remove(client.id)
        counts = counts.put(client.address, countAt(client.address) - 1)
        heldBytes -= client.heldBytes
        client.heldBytes = 0
    }

    /** The longest time for which a client may take nothing of its answer. */
    internal val answerReadTimeout: Duration get() = limits.answerReadTimeout

    /** Counts and logs that [client] is closed for [reason]. */
    internal fun closed(client: TrackedClient, reason: ClientClosing) {
        counters.perform(CallCounter.ClientClosed(client.address, reason))
        lines = lines.consume(clock.instant()) ?: return
        logger.warn {
            "closing a connection to the address for ${client.address.wireName}: " +
                "${reason.wireName}; ${clients.size} connections hold $heldBytes of " +
                "${limits.memoryBytes} B"
        }
    }
}
