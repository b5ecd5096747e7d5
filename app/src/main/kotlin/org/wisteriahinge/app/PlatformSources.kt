package org.wisteriahinge.app

import java.io.Closeable
import java.time.Clock
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.adapters.backend.BackendClient
import org.wisteriahinge.adapters.backend.IoLoop
import org.wisteriahinge.adapters.relay.RelayServer
import org.wisteriahinge.adapters.relay.RelayTopic
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.platform.PlatformTopics
import org.wisteriahinge.platform.StoreTopic
import org.wisteriahinge.platform.lastingTarget
import org.wisteriahinge.runtime.KeyedTopic
import org.wisteriahinge.runtime.MirroredRecords
import org.wisteriahinge.runtime.RecordMeaning
import org.wisteriahinge.runtime.RelayedTopic
import org.wisteriahinge.runtime.TopicMirror

/** The topics of the platform as an instance reads them. */
internal sealed interface PlatformSources : Closeable {
    val configuration: KeyedTopic
    val targets: KeyedTopic

    /**
     * Starts serving others, where this instance does.
     *
     * @throws java.net.BindException if the address is in use.
     */
    fun start()

    /**
     * The instance serves what it reads at [ownAddress]. It reads the store, or a relay before it.
     *
     * Relays are taken in the order of their addresses, so that none follows one that follows it.
     */
    class Relaying(
        ownAddress: Address,
        private val settings: FrontSettings,
        private val client: BackendClient,
        loop: IoLoop,
        private val clock: Clock
    ) : PlatformSources {
        private val firstRelay = settings.platform.relays.minBy { it.toString() }
        private val upstreamRelays = listOf(firstRelay).filter {
            it != ownAddress
        }.toPersistentList()
        override val configuration: TopicMirror =
            mirror(topic(PlatformTopics.OPERATOR), RecordMeaning.Each)
        override val targets: TopicMirror = mirror(
            topic(PlatformTopics.TARGETS),
            RecordMeaning.Lasting(::lastingTarget)
        )
        private val server = RelayServer(
            ownAddress,
            persistentHashMapOf<String, () -> MirroredRecords>(
                PlatformTopics.OPERATOR to { configuration.records },
                PlatformTopics.TARGETS to { targets.records }
            ),
            loop
        )

        private fun topic(name: String): KeyedTopic =
            relayedTopic(name, upstreamRelays, settings.platform.store, client, clock, first = 0)

        private fun mirror(topic: KeyedTopic, meaning: RecordMeaning): TopicMirror =
            TopicMirror(topic, meaning) { server.changed() }

        override fun start() {
            server.start()
        }

        override fun close() {
            server.close()
        }
    }

    /** The instance reads at one of the relays, and at the store while none of them serves. */
    class Following(
        private val settings: FrontSettings,
        private val client: BackendClient,
        private val clock: Clock
    ) : PlatformSources {
        override val configuration = topic(PlatformTopics.OPERATOR)
        override val targets = topic(PlatformTopics.TARGETS)

        private fun topic(name: String): KeyedTopic = relayedTopic(
            name,
            settings.platform.relays,
            settings.platform.store,
            client,
            clock,
            first = Math.floorMod(
                settings.name.hashCode(),
                maxOf(1, settings.platform.relays.size)
            )
        )

        override fun start() = Unit

        override fun close() = Unit
    }
}

/** The topic [name], read at one of [relays] or else at the [store]. */
private fun relayedTopic(
    name: String,
    relays: PersistentList<Address>,
    store: Address,
    client: BackendClient,
    clock: Clock,
    first: Int
): KeyedTopic = RelayedTopic(
    relays.map { RelayTopic(name, it, client) }.toPersistentList(),
    StoreTopic(name, store, client),
    first,
    clock
)
