package org.wisteriahinge.app

import java.io.Closeable
import java.time.Clock
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

    /** The instance reads the store and serves what it read at [own]. */
    class Relaying(own: Address, client: BackendClient, store: Address, loop: IoLoop) :
        PlatformSources {
        override val configuration: TopicMirror =
            mirror(StoreTopic(PlatformTopics.OPERATOR, store, client), RecordMeaning.Each)
        override val targets: TopicMirror = mirror(
            StoreTopic(PlatformTopics.TARGETS, store, client),
            RecordMeaning.Lasting(::lastingTarget)
        )
        private val server = RelayServer(
            own,
            persistentHashMapOf<String, () -> MirroredRecords>(
                PlatformTopics.OPERATOR to { configuration.records },
                PlatformTopics.TARGETS to { targets.records }
            ),
            loop
        )

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

        private fun topic(name: String): KeyedTopic = RelayedTopic(
            settings.platform.relays.map { RelayTopic(name, it, client) }.toPersistentList(),
            StoreTopic(name, settings.platform.store, client),
            first = Math.floorMod(
                settings.name.hashCode(),
                maxOf(1, settings.platform.relays.size)
            ),
            clock
        )

        override fun start() = Unit

        override fun close() = Unit
    }
}
