package org.wisteriahinge.app

import java.io.Closeable
import java.time.Clock
import java.time.Duration
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

/** Longest read from a relay; a relay that does not answer within it has failed. */
private val RELAY_WAIT: Duration = Duration.ofMillis(900)

/** The same for a topic with few changes, which must be known within 3 s. */
private val RARELY_CHANGED_WAIT: Duration = Duration.ofMillis(1_900)

/** The platform's topics, read from the store or from relays. */
internal sealed interface PlatformSources : Closeable {
    val configuration: KeyedTopic
    val targets: KeyedTopic

    /** The counts of crashes that instances write. */
    val crashes: KeyedTopic

    /** Where instances take calls from others. */
    val instances: KeyedTopic

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
        settings: FrontSettings,
        client: BackendClient,
        loop: IoLoop,
        clock: Clock
    ) : PlatformSources {
        private val firstRelay = settings.platform.relays.minBy { it.toString() }
        private val upstream = TopicReader(
            listOf(firstRelay).filter { it != ownAddress }.toPersistentList(),
            first = 0,
            settings.platform.store,
            client,
            clock
        )
        override val configuration: TopicMirror =
            mirror(upstream.topic(PlatformTopics.OPERATOR), RecordFilter.EveryRecord)
        override val targets: TopicMirror = mirror(
            upstream.topic(PlatformTopics.TARGETS),
            RecordFilter.ChangedRecords(::decodeStableTarget)
        )
        override val crashes: TopicMirror = mirror(
            upstream.topic(PlatformTopics.CRASHES, RARELY_CHANGED_WAIT),
            RecordFilter.EveryRecord
        )
        override val instances: TopicMirror =
            mirror(upstream.topic(PlatformTopics.INSTANCES), RecordFilter.EveryRecord)
        private val server = RelayServer(
            ownAddress,
            persistentHashMapOf<String, () -> MirroredRecords>(
                PlatformTopics.OPERATOR to { configuration.records },
                PlatformTopics.TARGETS to { targets.records },
                PlatformTopics.CRASHES to { crashes.records },
                PlatformTopics.INSTANCES to { instances.records }
            ),
            loop
        )

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
    class Following(settings: FrontSettings, client: BackendClient, clock: Clock) :
        PlatformSources {
        private val reader = TopicReader(
            settings.platform.relays,
            first = Math.floorMod(
                settings.name.hashCode(),
                maxOf(1, settings.platform.relays.size)
            ),
            settings.platform.store,
            client,
            clock
        )
        override val configuration = reader.topic(PlatformTopics.OPERATOR)
        override val targets = reader.topic(PlatformTopics.TARGETS)
        override val crashes = reader.topic(PlatformTopics.CRASHES, RARELY_CHANGED_WAIT)
        override val instances = reader.topic(PlatformTopics.INSTANCES, Duration.ZERO)

        override fun start() = Unit

        override fun close() = Unit
    }
}

/** Reads topics from [relays], beginning at index [first], or else from [store]. */
private class TopicReader(
    private val relays: PersistentList<Address>,
    private val first: Int,
    private val store: Address,
    private val client: BackendClient,
    private val clock: Clock
) {
    fun topic(name: String, maxWait: Duration = RELAY_WAIT): KeyedTopic = RelayedTopic(
        relays.map { RelayTopic(name, it, client) }.toPersistentList(),
        StoreTopic(name, store, client),
        first,
        maxWait,
        clock
    )
}
