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

internal val Scenario.tickMicros: Long get() = tickMillis * MICROS_PER_MILLI

/** When the deadline of the last call has passed. */
internal val Scenario.endMicros: Long
    get() = (durationMillis + 2 * deadlineMillis) * MICROS_PER_MILLI

/** Everything that is to happen regardless of decisions; periods are offset by instance. */
internal fun Scenario.initialTimeline(requests: List<SimRequest>, instanceCount: Int): Timeline {
    val heartbeatMicros = heartbeatMillis * MICROS_PER_MILLI
    val all = requests.map { it.atMicros to SimEvent.Arrive(it) } +
        changes.map { it.atMillis * MICROS_PER_MILLI to SimEvent.Change(it.target, it.change) } +
        (0 until instanceCount).flatMap {
            listOf(
                tickMicros * it / instanceCount to SimEvent.Tick(it),
                heartbeatMicros * it / instanceCount to SimEvent.Heartbeat(it)
            )
        } +
        List(if (noise == null) 0 else targets) { 0L to SimEvent.DrawSpeed(it) } +
        shareEvents()
    return all.fold(Timeline()) { timeline, (at, event) -> timeline.scheduled(at, event) }
}
