package org.wisteriahinge.app

import io.github.oshai.kotlinlogging.KotlinLogging
import java.io.Closeable
import java.time.Clock
import java.time.Duration
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.directory.DirectoryRecord
import org.wisteriahinge.core.directory.DirectoryState
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.ListedTargets
import org.wisteriahinge.core.watch.WatchTiming
import org.wisteriahinge.core.watch.WatchUpdate
import org.wisteriahinge.platform.DecodeException
import org.wisteriahinge.platform.PlatformTopics
import org.wisteriahinge.platform.decodeConfiguration
import org.wisteriahinge.platform.decodeTarget
import org.wisteriahinge.runtime.KeyedRecord
import org.wisteriahinge.runtime.TopicWatchDuty

private val logger = KotlinLogging.logger {}

/** Each target writes its entry every second and a half; a drain must be known within two. */
private val TARGETS_PACE = WatchTiming(minPeriod = Duration.ofMillis(900), waitUpTo = Duration.ZERO)

/**
 * Changes of the configuration are rare, so that a read waits for the next one. A connection that
 * falls silent during a read is found at its end, which must come within 3 s.
 */
private val CONFIGURATION_PACE =
    WatchTiming(minPeriod = Duration.ofMillis(50), waitUpTo = Duration.ofSeconds(2))

private val STOP_TIMEOUT: Duration = Duration.ofSeconds(1)

/** Follows the platform's topics and hands configurations and targets to [path] and [view]. */
internal class FrontTopics(
    sources: PlatformSources,
    seed: Long,
    private val clock: Clock,
    private val path: CallPath,
    private val view: FrontView
) : Closeable {
    private val configurationWatch = TopicWatchDuty(
        "configuration",
        sources.configuration,
        CONFIGURATION_PACE,
        seed,
        clock,
        ::decodeOperatorRecord,
        ::configurationNews
    )
    private val targetsWatch = TopicWatchDuty(
        "targets",
        sources.targets,
        TARGETS_PACE,
        seed + 1,
        clock,
        ::decodeTarget,
        ::targetNews
    )

    // Both are used by the targets' watch only.
    private var directory = DirectoryState()
    private var told: ListedTargets? = null

    fun start() {
        configurationWatch.start()
        targetsWatch.start()
    }

    private fun decodeOperatorRecord(record: KeyedRecord): Configuration? {
        val value = record.value
        if (record.key != PlatformTopics.CONFIGURATION_KEY || value == null) return null
        return try {
            decodeConfiguration(value)
        } catch (e: DecodeException) {
            logger.error { "configuration at offset ${record.offset} is not used: ${e.message}" }
            null
        }
    }

    private fun configurationNews(news: WatchUpdate<Configuration>) {
        when (news) {
            is WatchUpdate.Newest -> news.records.forEach(::configured)
            is WatchUpdate.Changes -> news.records.forEach(::configured)
            WatchUpdate.Lost -> logger.warn { "lost the operator's topic; the configuration stays" }
            is WatchUpdate.Regained -> logger.info { "reads the operator's topic" }
        }
    }

    private fun configured(next: Configuration) {
        if (next.revision <= view.revision) return
        path.offerBlocking(CallEvent.Configured(next))
        next.requestLimits?.let(path::limit)
        view.configured(next.revision)
        logger.info { "configuration ${next.revision} is in force" }
    }

    private fun targetNews(news: WatchUpdate<DirectoryRecord>) {
        when (news) {
            is WatchUpdate.Newest -> logUnusable(news.records)
            is WatchUpdate.Changes -> logUnusable(news.records)
            WatchUpdate.Lost -> {
                logger.warn { "lost the targets' topic; the list of targets stays" }
                // Both topics are read over connections that may have died together.
                configurationWatch.restartRead()
            }
            is WatchUpdate.Regained -> {
                logger.info { "reads the targets' topic" }
                // A read that began before the store's return may never be answered.
                if (news.lastFailureAt != null) configurationWatch.restartRead()
            }
        }
        val next = directory.decide(news, clock.instant())
        // Most reads bring nothing, and listing all targets is the costly part.
        if (next === directory) return
        directory = next
        tell(next.listing())
    }

    private fun logUnusable(records: List<DirectoryRecord>) {
        records.filterIsInstance<DirectoryRecord.Unusable>().forEach { record ->
            logger.warn { "entry '${record.id}' names no target to use: ${record.problem}" }
        }
    }

    private fun tell(listing: ListedTargets) {
        if (listing == told) return
        told = listing
        path.offerBlocking(CallEvent.TargetsListed(listing))
        view.listed(listing)
        logger.info { "targets: ${listing.byService.mapValues { it.value.size }}" }
    }

    override fun close() {
        configurationWatch.stop(STOP_TIMEOUT)
        targetsWatch.stop(STOP_TIMEOUT)
    }
}
