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
import org.wisteriahinge.platform.decodeStableTarget
import org.wisteriahinge.runtime.KeyedTopic
import org.wisteriahinge.runtime.MirroredRecords
import org.wisteriahinge.runtime.RecordFilter
import org.wisteriahinge.runtime.RelayedTopic
import org.wisteriahinge.runtime.TopicMirror

/** The platform's topics, read from the store or from relays. */
internal sealed interface PlatformSources : Closeable {
    val configuration: KeyedTopic
    val targets: KeyedTopic

    /**
     * Starts serving the topics to other instances if this one is a relay.
     *
     * @throws java.net.BindException if the address is in use.
     */
    fun start()

    /**
     * A relay, which serves the topics that it reads at [ownAddress].
     *
     * The relay whose address sorts first reads the store. The others read that relay, or the store
     * while it does not serve. No two relays thus read each other.
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
            mirror(topic(PlatformTopics.OPERATOR), RecordFilter.EveryRecord)
        override val targets: TopicMirror = mirror(
            topic(PlatformTopics.TARGETS),
            RecordFilter.ChangedRecords(::decodeStableTarget)
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

        private fun mirror(topic: KeyedTopic, meaning: RecordFilter): TopicMirror =
            TopicMirror(topic, meaning) { server.onRecordsRead() }

        override fun start() {
            server.start()
        }

        override fun close() {
            server.close()
        }
    }

    /** Reads the topics from one of the relays, or from the store while none of them serves. */
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

/** The topic [name], read from [relays] beginning at index [first], or else from [store]. */
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
