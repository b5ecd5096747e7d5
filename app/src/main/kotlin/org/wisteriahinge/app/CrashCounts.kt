package org.wisteriahinge.app

import io.github.oshai.kotlinlogging.KotlinLogging
import java.io.Closeable
import java.time.Clock
import java.time.Duration
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.adapters.backend.BackendClient
import org.wisteriahinge.adapters.crash.decodeCrashCount
import org.wisteriahinge.adapters.crash.encodeCrashCount
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.crashreport.CrashCount
import org.wisteriahinge.core.crashreport.CrashCountKey
import org.wisteriahinge.core.crashreport.CrashReportsEvent
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.watch.WatchUpdate
import org.wisteriahinge.platform.PlatformTopics
import org.wisteriahinge.platform.StoreTopicWriter
import org.wisteriahinge.runtime.CrashReportsDuty
import org.wisteriahinge.runtime.FollowedTopic
import org.wisteriahinge.runtime.TopicWatchDuty

private val logger = KotlinLogging.logger {}

private const val HEXADECIMAL = 16
private val STOP_TIMEOUT: Duration = Duration.ofSeconds(1)

/**
 * Shares with all instances which requests crashed targets, through a topic of the store.
 *
 * Each process writes counts under its own id, so that a restarted one adds to those before it.
 */
internal class CrashCounts(
    settings: FrontSettings,
    storeClient: BackendClient,
    topic: FollowedTopic,
    private val clock: Clock,
    private val pipeline: CallPipeline
) : Closeable {
    private val self =
        InstanceId("${settings.name}-${settings.seed.toULong().toString(HEXADECIMAL)}")
    private val reports = CrashReportsDuty(
        StoreTopicWriter(PlatformTopics.CRASHES, settings.platform.store, storeClient),
        clock
    ) { encodeCrashCount(it, clock.instant()) }

    /** Follows the topic. */
    val watch: TopicWatchDuty<*> = TopicWatchDuty(
        topic,
        settings.seed + 2,
        clock,
        { decodeCrashCount(it, clock.instant()) },
        ::onUpdate
    )

    fun start() {
        reports.start()
        watch.start()
    }

    /** Writes the count of this instance. */
    fun share(effect: CallEffect.ShareCrashes) {
        val count = CrashCount(CrashCountKey(effect.digest, self), effect.crashes)
        reports.post(CrashReportsEvent.Reported(persistentListOf(count)))
    }

    /** Clears the counts of this instance and of others. */
    fun clear(effect: CallEffect.ClearCrashes) {
        val counts = (effect.instances + self)
            .map { CrashCount(CrashCountKey(effect.digest, it), crashes = 0) }
        reports.post(CrashReportsEvent.Reported(counts.toPersistentList()))
    }

    private fun onUpdate(update: WatchUpdate<CrashCount>) {
        when (update) {
            is WatchUpdate.Newest -> {
                if (update.isRestored) reports.post(CrashReportsEvent.StoreRestored)
                update.records.forEach(::apply)
            }
            is WatchUpdate.Changes -> update.records.forEach(::apply)
            WatchUpdate.Lost -> logger.warn { "lost the topic of crashes; keeping the counts" }
            is WatchUpdate.Regained -> logger.info { "reading the topic of crashes" }
        }
    }

    private fun apply(count: CrashCount) {
        val (digest, instance) = count.key
        when {
            instance != self ->
                pipeline.offerBlocking(CallEvent.CrashesShared(digest, instance, count.crashes))
            count.crashes == 0 -> pipeline.offerBlocking(CallEvent.CrashesCleared(digest))
        }
    }

    override fun close() {
        watch.stop(STOP_TIMEOUT)
        reports.stop(STOP_TIMEOUT)
    }
}
