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

/** The rings, peers and metrics that [ConfigurationEffects] of instance [self] writes to. */
public class ConfigurationContext(
    public val self: InstanceId,
    public val ring: Ring<ConfigurationEvent>,
    public val logRing: Ring<AppendRequest>,
    /** Null if the instance has no peers. */
    public val peers: PeerLink?,
    public val metrics: ConfigurationMetrics,
    /**
     * Hands a revision to the code that uses it. May block while the receiving ring is full,
     * because a revision must not be dropped.
     */
    public val apply: EffectSink<Configuration>
)

/**
 * Performs the effects that the `configuration` duty decides on: it puts revisions in force, writes
 * snapshots to the log, exchanges revisions with peers and reports the status.
 */
public class ConfigurationEffects(private val context: ConfigurationContext) :
    EffectSink<ConfigurationEffect> {
    private val latest = AtomicReference(ConfigurationStatus())

    /** The most recently reported status. Safe to read from any thread. */
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
        val payload = SnapshotCodec.encode(effect.checkpoint, effect.writtenAt)
        context.logRing.submit(
            AppendRequest(
                LogStream.ConfigurationSnapshot,
                UuidCreator.getTimeOrderedEpoch().toString(),
                persistentListOf(payload)
            ) { outcome ->
                outcome.onFailure {
                    logger.warn { "the configuration snapshot was not written: ${it.message}" }
                }
                val ended = ConfigurationEvent.SnapshotWriteEnded(outcome.isOk)
                // May be dropped when the ring is full: the event is only counted, and the
                // snapshot itself is read back from its stream.
                context.ring.offer(ended)
            }
        )
    }

    private fun reply(effect: ConfigurationEffect.ReplyToPeer) {
        val message = PeerMessage.ConfigurationReply(
            from = context.self,
            revision = effect.checkpoint.revision,
            offset = effect.checkpoint.nextOffset,
            customers = effect.checkpoint.lists.customers,
            entitlements = effect.checkpoint.lists.entitlements
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
