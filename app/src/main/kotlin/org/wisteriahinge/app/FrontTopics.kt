package org.wisteriahinge.app

import io.github.oshai.kotlinlogging.KotlinLogging
import java.io.Closeable
import java.time.Clock
import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.directory.DirectoryRecord
import org.wisteriahinge.core.directory.DirectoryState
import org.wisteriahinge.core.evacuation.EvacuatedZones
import org.wisteriahinge.core.evacuation.OperatorRecord
import org.wisteriahinge.core.keys.ClockReading
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.ListedTargets
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.core.watch.TopicPosition
import org.wisteriahinge.core.watch.WatchUpdate
import org.wisteriahinge.platform.DecodeException
import org.wisteriahinge.platform.PlatformTopics
import org.wisteriahinge.platform.decodeConfiguration
import org.wisteriahinge.platform.decodeTarget
import org.wisteriahinge.runtime.KeyedRecord
import org.wisteriahinge.runtime.TopicWatchDuty

private val logger = KotlinLogging.logger {}

private val STOP_TIMEOUT: Duration = Duration.ofSeconds(1)

/** Reads the platform's topics and passes configurations and targets to [pipeline] and [view]. */
internal class FrontTopics(
    sources: PlatformSources,
    seed: Long,
    private val clock: Clock,
    private val hasRevocationBound: Boolean,
    private val pipeline: CallPipeline,
    private val view: FrontView
) : Closeable {
    private val configurationWatch = TopicWatchDuty(
        sources.configuration,
        seed,
        clock,
        ::decodeOperatorRecord,
        ::onOperatorUpdate,
        confirmed = ::onConfigurationConfirmed
    )
    private val targetsWatch = TopicWatchDuty(
        sources.targets,
        seed + 1,
        clock,
        ::decodeTarget,
        ::onTargetUpdate
    )

    // Accessed only on the thread of targetsWatch.
    private var directory = DirectoryState()
    private var lastListing: ListedTargets? = null

    // Accessed only on the thread of configurationWatch.
    private var isNewestUsable = true

    /** Written only on the thread of configurationWatch. */
    @Volatile
    private var evacuation = EvacuatedZones()

    /** The zones whose targets get nothing. */
    val evacuatedZones: Set<Zone> get() = evacuation.zones

    /** The duties that follow topics here. */
    val watches: PersistentList<TopicWatchDuty<*>> =
        persistentListOf(configurationWatch, targetsWatch)

    fun start() {
        configurationWatch.start()
        targetsWatch.start()
    }

    private fun decodeOperatorRecord(record: KeyedRecord): OperatorRecord? {
        val value = record.value
        val prefix = PlatformTopics.EVACUATION_KEY_PREFIX
        return when {
            record.key == PlatformTopics.CONFIGURATION_KEY ->
                value?.let { decodeOrLog(it, record.position) }
                    ?.let(OperatorRecord::Configured)
            record.key.startsWith(prefix) -> {
                val zone = Zone(record.key.removePrefix(prefix))
                if (value == null) {
                    OperatorRecord.ZoneRestored(zone)
                } else {
                    OperatorRecord.ZoneEvacuated(zone)
                }
            }
            else -> null
        }
    }

    private fun decodeOrLog(value: ByteArray, position: TopicPosition): Configuration? = try {
        decodeConfiguration(value).also { isNewestUsable = true }
    } catch (e: DecodeException) {
        logger.error { "configuration at $position is not used: ${e.message}" }
        isNewestUsable = false
        null
    }

    private fun onOperatorUpdate(news: WatchUpdate<OperatorRecord>) {
        // Before the configuration, which may release early calls.
        applyEvacuation(evacuation.decide(news))
        when (news) {
            is WatchUpdate.Newest -> {
                logIfRestored("operator's", news)
                news.records.forEach(::applyConfiguration)
            }
            is WatchUpdate.Changes -> news.records.forEach(::applyConfiguration)
            WatchUpdate.Lost -> logger.warn {
                "lost the operator's topic; keeping the configuration"
            }
            is WatchUpdate.Regained -> logger.info { "reading the operator's topic" }
        }
    }

    private fun applyEvacuation(next: EvacuatedZones) {
        if (next == evacuation) return
        evacuation = next
        pipeline.offerBlocking(CallEvent.ZonesEvacuated(next.zones))
        logger.info { "evacuated zones: ${next.zones.ifEmpty { "none" }}" }
    }

    private fun applyConfiguration(record: OperatorRecord) {
        when (record) {
            is OperatorRecord.Configured -> applyConfiguration(record.configuration)
            is OperatorRecord.ZoneEvacuated, is OperatorRecord.ZoneRestored -> Unit
        }
    }

    /** Keys that a configuration takes away which cannot be used here would be accepted on. */
    private fun onConfigurationConfirmed(moment: ClockReading) {
        if (!hasRevocationBound || !isNewestUsable || view.revision == RevisionNumber.None) return
        pipeline.offerBlocking(CallEvent.ConfigurationConfirmed(moment))
    }

    private fun applyConfiguration(next: Configuration) {
        if (next.revision <= view.revision) return
        pipeline.offerBlocking(CallEvent.Configured(next))
        next.requestLimits?.let(pipeline::applyBounds)
        view.configurationApplied(next.revision)
        logger.info { "configuration ${next.revision} is in force" }
    }

    private fun onTargetUpdate(news: WatchUpdate<DirectoryRecord>) {
        when (news) {
            is WatchUpdate.Newest -> {
                logIfRestored("targets'", news)
                logUnusable(news.records)
            }
            is WatchUpdate.Changes -> logUnusable(news.records)
            WatchUpdate.Lost -> {
                logger.warn { "lost the targets' topic; keeping the list of targets" }
                // The connection for the configuration may have failed at the same time.
                configurationWatch.restartRead()
            }
            is WatchUpdate.Regained -> {
                logger.info { "reading the targets' topic" }
                // A read that began before the store recovered may never be answered.
                if (news.lastFailureAt != null) configurationWatch.restartRead()
            }
        }
        val next = directory.decide(news, clock.instant())
        // Most reads return no change, and listing all targets is expensive.
        if (next === directory) return
        directory = next
        publishListing(next.listing())
    }

    private fun logIfRestored(topic: String, news: WatchUpdate.Newest<*>) {
        if (!news.isRestored) return
        logger.warn {
            "the store came back from an older copy; reading the newest records of the $topic " +
                "topic anew"
        }
    }

    private fun logUnusable(records: List<DirectoryRecord>) {
        records.filterIsInstance<DirectoryRecord.Unusable>().forEach { record ->
            logger.warn { "target entry '${record.id}' is not used: ${record.problem}" }
        }
    }

    private fun publishListing(listing: ListedTargets) {
        if (listing == lastListing) return
        lastListing = listing
        pipeline.offerBlocking(CallEvent.TargetsListed(listing))
        view.targetsListed(listing)
        logger.info { "targets: ${listing.byService.mapValues { it.value.size }}" }
    }

    override fun close() {
        configurationWatch.stop(STOP_TIMEOUT)
        targetsWatch.stop(STOP_TIMEOUT)
    }
}
