package org.wisteriahinge.core.handover

import java.time.Duration
import java.time.Instant

/** Pause before a write that failed is repeated. */
private val RETRY_PERIOD: Duration = Duration.ofMillis(500)

/** What is next to be written to the store about this instance. */
public sealed interface RecordWrite {
    /** The record, by which others find this instance. */
    public data object Publish : RecordWrite

    /** The removal of the record. */
    public data object Remove : RecordWrite
}

/** Whether the store lists this instance, and when it is next written; see `instance-record`. */
public data class InstanceRecordState(
    val phase: RecordPhase = RecordPhase.Unwritten,
    val nextWriteAt: Instant = Instant.EPOCH
) {
    /** The write that is due at [now]; null if none is. */
    public fun dueWrite(now: Instant): RecordWrite? = when {
        nextWriteAt > now -> null
        phase == RecordPhase.Leaving -> RecordWrite.Remove
        else -> RecordWrite.Publish
    }

    /** The state after [trigger]. */
    public fun step(trigger: RecordTrigger, now: Instant): InstanceRecordState {
        if (phase in instanceRecordChart.finalStates) return this
        val step = instanceRecordChart.step(phase, trigger)
        return step.effects.fold(copy(phase = step.state)) { state, action ->
            when (action) {
                RecordAction.WriteNow -> state.copy(nextWriteAt = now)
                RecordAction.BackOff -> state.copy(nextWriteAt = now + RETRY_PERIOD)
                RecordAction.StopWriting -> state.copy(nextWriteAt = Instant.MAX)
            }
        }
    }
}
