package org.wisteriahinge.core.clients

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Guards against closing clients that are served, or that are faster than others. */
class ClientEvictionTest {
    private fun client(id: Long, activity: ClientActivity, progressNanos: Long) =
        ClientState(ClientId(id), activity, heldBytes = 10, progressNanos)

    @Test
    fun `the connection longest without progress makes room for a new one`() {
        val clients = listOf(
            client(1, ClientActivity.Serving, progressNanos = 0),
            client(2, ClientActivity.Idle, progressNanos = 1),
            client(3, ClientActivity.Receiving, progressNanos = 9),
            client(4, ClientActivity.New, progressNanos = 8)
        )
        expectThat(evictionForConnection(clients)).isEqualTo(ClientId(4))
        expectThat(evictionForConnection(clients.take(2))).isEqualTo(ClientId(2))
        expectThat(evictionForConnection(clients.take(1))).isNull()
    }

    @Test
    fun `as many stalled connections are closed as hold the needed bytes`() {
        val clients = listOf(
            client(1, ClientActivity.Answering, progressNanos = 3),
            client(2, ClientActivity.Receiving, progressNanos = 2),
            client(3, ClientActivity.Receiving, progressNanos = 5),
            client(4, ClientActivity.Serving, progressNanos = 0)
        )
        fun evicted(bytes: Long) =
            evictionsForMemory(clients, bytes, stalledNanos = 4).map { it.value }
        expectThat(evicted(10)).isEqualTo(listOf(2L))
        expectThat(evicted(20)).isEqualTo(listOf(2L, 1L))
        expectThat(evicted(21)).isEmpty()
    }
}
