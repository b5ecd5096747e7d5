package org.wisteriahinge.app

import io.github.oshai.kotlinlogging.KotlinLogging
import java.io.Closeable
import java.security.SecureRandom
import java.time.Clock
import java.time.Duration
import java.util.HexFormat
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.adapters.backend.BackendClient
import org.wisteriahinge.adapters.handover.InstanceRecord
import org.wisteriahinge.adapters.handover.decodeInstance
import org.wisteriahinge.adapters.handover.encodeInstance
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.handover.PeerInstance
import org.wisteriahinge.core.handover.RecordTrigger
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.watch.WatchUpdate
import org.wisteriahinge.platform.PlatformTopics
import org.wisteriahinge.platform.StoreTopicWriter
import org.wisteriahinge.runtime.FollowedTopic
import org.wisteriahinge.runtime.InstanceRecordDuty
import org.wisteriahinge.runtime.TopicWatchDuty

private val logger = KotlinLogging.logger {}

private const val TOKEN_BYTES = 16
private val STOP_TIMEOUT: Duration = Duration.ofSeconds(1)

/** Returns an unguessable token that authorizes other instances to hand calls over. */
internal fun newHandoverToken(): String {
    val bytes = ByteArray(TOKEN_BYTES)
    SecureRandom().nextBytes(bytes)
    return HexFormat.of().formatHex(bytes)
}

/** Where this instance takes calls from others, and the token that they present. */
internal data class HandoverEndpoint(val address: Address, val token: String)

/** Lists this instance in a topic of the store, and passes the others there to [pipeline]. */
internal class InstanceDirectory(
    settings: FrontSettings,
    endpoint: HandoverEndpoint,
    storeClient: BackendClient,
    topic: FollowedTopic,
    clock: Clock,
    private val pipeline: CallPipeline
) : Closeable {
    private val self = PeerInstance(
        InstanceId(settings.name),
        settings.zone,
        endpoint.address,
        endpoint.token
    )
    private val record = InstanceRecordDuty(
        encodeInstance(self),
        StoreTopicWriter(PlatformTopics.INSTANCES, settings.platform.store, storeClient),
        clock
    )

    /** Follows the topic. */
    val watch: TopicWatchDuty<*> = TopicWatchDuty(
        topic,
        settings.seed + 3,
        clock,
        ::decodeInstance,
        ::onUpdate
    )

    // Accessed only on the thread of watch.
    private var listed: PersistentMap<InstanceId, PeerInstance> = persistentHashMapOf()

    fun start() {
        record.start()
        watch.start()
    }

    /** Removes the record, so that other instances hand over no more calls. */
    fun leave() = record.post(RecordTrigger.Leaving)

    private fun onUpdate(update: WatchUpdate<InstanceRecord>) {
        when (update) {
            is WatchUpdate.Newest -> {
                listed = persistentHashMapOf()
                apply(update.records)
                if (self.id !in listed) record.post(RecordTrigger.Missing)
            }
            is WatchUpdate.Changes -> apply(update.records)
            WatchUpdate.Lost -> logger.info { "lost the topic of instances; keeping the list" }
            is WatchUpdate.Regained -> Unit
        }
    }

    private fun apply(records: List<InstanceRecord>) {
        if (records.isEmpty()) return
        listed = records.fold(listed) { all, record ->
            when (record) {
                is InstanceRecord.Listed -> all.put(record.id, record.instance)
                is InstanceRecord.Removed -> all.remove(record.id)
            }
        }
        if (records.any { it.id == self.id } && listed[self.id] != self) {
            record.post(RecordTrigger.Missing)
        }
        val others = listed.remove(self.id).values.toPersistentList()
        pipeline.offerBlocking(CallEvent.PeersListed(others))
    }

    override fun close() {
        watch.stop(STOP_TIMEOUT)
        record.stop(STOP_TIMEOUT)
    }
}
