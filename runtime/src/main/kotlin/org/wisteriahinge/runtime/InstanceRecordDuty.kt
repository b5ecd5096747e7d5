package org.wisteriahinge.runtime

import com.github.michaelbull.result.mapBoth
import io.github.oshai.kotlinlogging.KotlinLogging
import java.time.Clock
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.handover.InstanceRecordState
import org.wisteriahinge.core.handover.RecordTrigger
import org.wisteriahinge.core.handover.RecordWrite

private val logger = KotlinLogging.logger {}

private const val RING_CAPACITY = 16

/**
 * The thread that owns [InstanceRecordState] and writes [record] with [writer]: once after the
 * start, again if it is missing, and without a value when this instance leaves.
 */
public class InstanceRecordDuty(
    private val record: KeyedValue,
    private val writer: TopicWriter,
    private val clock: Clock
) : Duty("instance-record") {
    private val inbox = Ring<RecordTrigger>("instance-record", RING_CAPACITY)
    private var state = InstanceRecordState()

    /** Adds [event]; if the ring is full, a later read of the topic finds the record missing. */
    public fun post(event: RecordTrigger) {
        if (inbox.offer(event) == Offer.Full) logger.warn { "instance-record is late; $event" }
    }

    override fun runOnce() {
        val event = inbox.takeUntil(state.nextWriteAt, clock) ?: write() ?: return
        state = state.step(event, clock.instant())
    }

    private fun write(): RecordTrigger? {
        val due = state.dueWrite(clock.instant()) ?: return null
        val written = when (due) {
            RecordWrite.Publish -> record
            RecordWrite.Remove -> KeyedValue(record.key, ByteArray(0))
        }
        return writer.append(persistentListOf(written)).mapBoth(
            success = { RecordTrigger.Written },
            failure = {
                logger.info { "instance-record: ${it.message}" }
                RecordTrigger.Failed
            }
        )
    }
}
