package org.wisteriahinge.bench.policy

import java.time.Instant

/** The virtual clock and what is to happen. */
internal data class Timeline(
    val nowMicros: Long = 0,
    private val sequence: Long = 0,
    private val events: EventHeap<SimEvent> = EventHeap.Empty
) {
    val instant: Instant get() = Instant.EPOCH.plusNanos(nowMicros * NANOS_PER_MICRO)

    fun scheduled(atMicros: Long, event: SimEvent): Timeline =
        Timeline(nowMicros, sequence + 1, events.add(atMicros, sequence + 1, event))

    /** The next event and the timeline at its moment; null when nothing is to happen. */
    fun next(): TimelineStep? = when (events) {
        EventHeap.Empty -> null
        is EventHeap.Node ->
            TimelineStep(Timeline(events.atMicros, sequence, events.rest()), events.value)
    }

    private companion object {
        const val NANOS_PER_MICRO = 1_000L
    }
}

/** [event] happens now on [timeline]. */
internal data class TimelineStep(val timeline: Timeline, val event: SimEvent)
