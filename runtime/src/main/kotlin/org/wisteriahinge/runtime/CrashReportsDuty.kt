package org.wisteriahinge.runtime

import com.github.michaelbull.result.mapBoth
import io.github.oshai.kotlinlogging.KotlinLogging
import java.time.Clock
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.crashreport.CrashCount
import org.wisteriahinge.core.crashreport.CrashReportsEffect
import org.wisteriahinge.core.crashreport.CrashReportsEvent
import org.wisteriahinge.core.crashreport.CrashReportsState

private val logger = KotlinLogging.logger {}

private const val RING_CAPACITY = 256

/**
 * The thread that owns [CrashReportsState] and writes counts of crashes with [writer].
 *
 * It blocks while there is nothing to write. [encode] makes the record of a count.
 */
public class CrashReportsDuty(
    private val writer: TopicWriter,
    private val clock: Clock,
    private val encode: (CrashCount) -> KeyedValue
) : Duty("crash-reports") {
    private val inbox = Ring<CrashReportsEvent>("crash-reports", RING_CAPACITY)
    private var state = CrashReportsState()

    /** Adds [event]; if the ring is full, the next report of the same request makes up for it. */
    public fun post(event: CrashReportsEvent) {
        if (inbox.offer(event) == Offer.Full) logger.warn { "crash-reports is late; $event" }
    }

    override fun runOnce() {
        handle(inbox.takeUntil(state.nextWriteAt, clock) ?: CrashReportsEvent.Ticked)
    }

    private fun handle(event: CrashReportsEvent) {
        val decision = state.decide(event, clock.instant())
        state = decision.state
        decision.effects.forEach { effect ->
            when (effect) {
                is CrashReportsEffect.Write -> handle(write(effect.counts))
            }
        }
    }

    private fun write(counts: PersistentList<CrashCount>): CrashReportsEvent =
        writer.append(counts.map(encode).toPersistentList()).mapBoth(
            success = {
                counts.forEach { logger.info { it.describe() } }
                CrashReportsEvent.Written(counts)
            },
            failure = {
                logger.info { "crash-reports: ${it.message}" }
                CrashReportsEvent.WriteFailed
            }
        )
}

private fun CrashCount.describe(): String = if (crashes == 0) {
    "request ${key.digest} was answered; cleared the crashes that ${key.instance} counted"
} else {
    "request ${key.digest} ended $crashes backend servers at ${key.instance}"
}
