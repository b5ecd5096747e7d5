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
public class ConfigurationContext(
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
public class ConfigurationEffects(private val context: ConfigurationContext) :
    EffectSink<ConfigurationEffect> {
    private val latest = AtomicReference(ConfigurationStatus())

    /** The last reported status; may be read from any thread. */
    public val status: ConfigurationStatus get() = latest.get()

    override fun perform(effect: ConfigurationEffect) {
        when (effect) {
            is ConfigurationEffect.Apply -> apply(effect.configuration)
            is ConfigurationEffect.WriteSnapshot -> writeSnapshot(effect)
            is ConfigurationEffect.AskPeer ->
                context.peers?.send(effect.to, PeerMessage.ConfigurationRequest(context.self))
            is ConfigurationEffect.ReplyToPeer -> reply(effect)
            is ConfigurationEffect.Report -> report(effect.status)
            is ConfigurationEffect.Count -> context.metrics.count(effect.counter)
        }
    }

    private fun apply(configuration: Configuration) {
        context.apply.perform(configuration)
        logger.info { "configuration revision ${configuration.revision} is in force" }
    }

    private fun writeSnapshot(effect: ConfigurationEffect.WriteSnapshot) {
        val payload = SnapshotCodec.encode(effect.base, effect.writtenAt)
        context.logRing.submit(
            AppendRequest(
                LogStream.ConfigurationSnapshot,
                UuidCreator.getTimeOrderedEpoch().toString(),
                persistentListOf(payload)
            ) { outcome ->
                outcome.onFailure { logger.warn { "configuration snapshot: ${it.message}" } }
                val ended = ConfigurationEvent.SnapshotWriteEnded(outcome.isOk)
                // Only counted; the snapshot itself is read back from the stream.
                context.ring.offer(ended)
            }
        )
    }

    private fun reply(effect: ConfigurationEffect.ReplyToPeer) {
        val message = PeerMessage.ConfigurationReply(
            from = context.self,
            revision = effect.base.revision,
            offset = effect.base.nextOffset,
            customers = effect.base.lists.customers,
            entitlements = effect.base.lists.entitlements
        )
        context.peers?.send(effect.to, message)
    }

    private fun report(status: ConfigurationStatus) {
        latest.set(status)
        context.metrics.report(status)
        logger.info {
            "configuration ${status.standing.wireName}: revision ${status.revision} in force, " +
                "newest known ${status.newestKnown}"
        }
    }
}
