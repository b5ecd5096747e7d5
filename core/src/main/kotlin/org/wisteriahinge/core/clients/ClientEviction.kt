package org.wisteriahinge.core.clients

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

/** What a client's connection is doing; one with the lowest [rank] is closed first. */
public sealed class ClientActivity(internal val rank: Int) {
    /** No request was received yet. */
    public data object New : ClientActivity(rank = 0)

    /** A part of a request was received, and no target is at work on it. */
    public data object Receiving : ClientActivity(rank = 0)

    /** An answer is written that the client has not read completely. */
    public data object Answering : ClientActivity(rank = 0)

    /** The client may send another request. */
    public data object Idle : ClientActivity(rank = 1)

    /** A request is being served; the connection is not closed to make room. */
    public data object Serving : ClientActivity(rank = 2)
}

/** Number of a connection, unique within the process. */
@JvmInline
public value class ClientId(public val value: Long)

/**
 * The state of a client's connection on which evictions are decided.
 *
 * [progressNanos] is the moment at which it last sent or read bytes.
 */
public data class ClientState(
    val id: ClientId,
    val activity: ClientActivity,
    val heldBytes: Long,
    val progressNanos: Long
)

private val longestWithoutProgress: Comparator<ClientState> =
    compareBy<ClientState> { it.activity.rank }.thenBy { it.progressNanos }

private fun List<ClientState>.withoutServed(): List<ClientState> =
    filter { it.activity != ClientActivity.Serving }

/** The connection to close for a new one; null if requests are served on all of them. */
public fun evictionForConnection(clients: List<ClientState>): ClientId? =
    clients.withoutServed().minWithOrNull(longestWithoutProgress)?.id

/**
 * The connections to close to free [neededBytes], of those without progress since [stalledNanos];
 * empty if they do not hold as much, so that the one that needs the bytes has to go.
 */
public fun evictionsForMemory(
    clients: List<ClientState>,
    neededBytes: Long,
    stalledNanos: Long
): PersistentList<ClientId> {
    val stalled = clients.withoutServed()
        .filter { it.heldBytes > 0 && it.progressNanos <= stalledNanos }
        .sortedWith(longestWithoutProgress)
    val freed = stalled.runningFold(0L) { sum, client -> sum + client.heldBytes }
    val count = freed.indexOfFirst { it >= neededBytes }
    return stalled.take(maxOf(count, 0)).map { it.id }.toPersistentList()
}
