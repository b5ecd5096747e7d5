package org.wisteriahinge.bench.soak

import java.time.Duration
import org.wisteriahinge.runtime.Duty
import org.wisteriahinge.runtime.Ring
import org.wisteriahinge.runtime.offerBlocking

private const val RING_CAPACITY = 4_096
private val IDLE: Duration = Duration.ofMillis(200)

/** An observation queued for the history. */
internal sealed interface SoakNote {
    data class Request(val request: SoakRequest) : SoakNote
    data class Event(val event: SoakEvent) : SoakNote
}

/** Collects the observations of all threads of a soak into one [SoakHistory]. */
internal class SoakRecorder : Duty("soak-recorder") {
    private val inbox = Ring<SoakNote>("soak-notes", RING_CAPACITY)
    private val startNanos = System.nanoTime()

    @Volatile
    private var history = SoakHistory()

    /** The history so far; arrivals are added from the targets at the end. */
    val seen: SoakHistory get() = history

    /** Time since the recorder was created. */
    fun now(): Duration = Duration.ofNanos(System.nanoTime() - startNanos)

    fun at(nanos: Long): Duration = Duration.ofNanos(nanos - startNanos)

    fun note(note: SoakNote) {
        inbox.offerBlocking(note)
    }

    override fun runOnce() {
        val note = inbox.take(IDLE) ?: return
        history = when (note) {
            is SoakNote.Request -> history.copy(requests = history.requests.add(note.request))
            is SoakNote.Event -> history.copy(events = history.events.add(note.event))
        }
    }
}
