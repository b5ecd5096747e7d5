package org.wisteriahinge.adapters.log

import com.github.f4b6a3.uuid.UuidCreator
import com.github.michaelbull.result.onFailure
import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.atomic.AtomicReference
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.adapters.metrics.ConfigurationMetrics
import org.wisteriahinge.core.configuration.ConfigurationEffect
import org.wisteriahinge.core.configuration.ConfigurationEvent
import org.wisteriahinge.core.configuration.ConfigurationStatus
import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.runtime.AppendRequest
import org.wisteriahinge.runtime.EffectSink
import org.wisteriahinge.runtime.LogStream
import org.wisteriahinge.runtime.PeerLink
import org.wisteriahinge.runtime.Ring
import org.wisteriahinge.runtime.submit

private val logger = KotlinLogging.logger {}

/** What the `configuration` duty reaches: the log, the peers, and who uses the configuration. */
public class ConfigurationLinks(
    public val self: InstanceId,
    public val ring: Ring<ConfigurationEvent>,
    public val logRing: Ring<AppendRequest>,
    /** Null when the instance has no peers. */
    public val peers: PeerLink?,
    public val metrics: ConfigurationMetrics,
    /** May block while the user's ring is full; the revision must not be dropped. */
    public val apply: EffectSink<Configuration>
)

/** Performs the effects of decisions on the configuration. */
public class ConfigurationEffects(private val links: ConfigurationLinks) :
    EffectSink<ConfigurationEffect> {
    private val latest = AtomicReference(ConfigurationStatus())

    /** The last reported status; may be read from any thread. */
    public val status: ConfigurationStatus get() = latest.get()

    override fun perform(effect: ConfigurationEffect) {
        when (effect) {
            is ConfigurationEffect.Apply -> apply(effect.configuration)
            is ConfigurationEffect.WriteSnapshot -> writeSnapshot(effect)
            is ConfigurationEffect.AskPeer ->
                links.peers?.send(effect.to, PeerMessage.ConfigurationRequest(links.self))
            is ConfigurationEffect.ReplyToPeer -> reply(effect)
            is ConfigurationEffect.Report -> report(effect.status)
            is ConfigurationEffect.Count -> links.metrics.count(effect.counter)
        }
    }

    private fun apply(configuration: Configuration) {
        links.apply.perform(configuration)
        logger.info { "configuration revision ${configuration.revision} is in force" }
    }

    private fun writeSnapshot(effect: ConfigurationEffect.WriteSnapshot) {
        val payload = SnapshotCodec.encode(effect.checkpoint, effect.writtenAt)
        links.logRing.submit(
            AppendRequest(
                LogStream.ConfigurationSnapshot,
                UuidCreator.getTimeOrderedEpoch().toString(),
                persistentListOf(payload)
            ) { outcome ->
                outcome.onFailure { logger.warn { "configuration snapshot: ${it.message}" } }
                val ended = ConfigurationEvent.SnapshotWriteEnded(outcome.isOk)
                // Only counted; the snapshot itself is read back from the stream.
                links.ring.offer(ended)
            }
        )
    }

    private fun reply(effect: ConfigurationEffect.ReplyToPeer) {
        val message = PeerMessage.ConfigurationReply(
            from = links.self,
            revision = effect.checkpoint.revision,
            offset = effect.checkpoint.nextOffset,
            customers = effect.checkpoint.lists.customers,
            entitlements = effect.checkpoint.lists.entitlements
        )
        links.peers?.send(effect.to, message)
    }

    private fun report(status: ConfigurationStatus) {
        latest.set(status)
        links.metrics.report(status)
        logger.info {
            "configuration ${status.standing.wireName}: revision ${status.revision} in force, " +
                "newest known ${status.newestKnown}"
        }
    }
}
