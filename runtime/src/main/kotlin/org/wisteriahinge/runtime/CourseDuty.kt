package org.wisteriahinge.runtime

import java.time.Clock
import org.wisteriahinge.core.call.CallTrace

private const val RING_CAPACITY = 256

/** Limits the log's volume under overload, when most calls are refused and would be logged. */
private const val LINES_PER_SECOND = 20.0
private const val BURST_LINES = 100.0

/** Passes the courses of calls to [sink] on its own thread, at a limited rate. */
public class CourseDuty(private val clock: Clock, private val sink: CourseSink) : Duty("courses") {
    private val inbox = Ring<CallTrace>("courses", RING_CAPACITY)
    private var rateLimit = LogRateLimit(LINES_PER_SECOND, BURST_LINES)

    /** Queues [course] without blocking; it is dropped if the ring is full. */
    public fun submit(course: CallTrace) {
        if (inbox.offer(course) == Offer.Full) sink.leftOut()
    }

    override fun runOnce() {
        val course = inbox.take()
        val remaining = rateLimit.consume(clock.instant()) ?: return sink.leftOut()
        rateLimit = remaining
        sink.write(course)
    }
}

/** Writes the courses of calls, for example to the log. */
public interface CourseSink {
    public fun write(course: CallTrace)

    /** Counts a course that is not written because of the rate limit. Called on any thread. */
    public fun leftOut()

    public companion object {
        /** A sink that ignores all courses. */
        public val None: CourseSink = object : CourseSink {
            override fun write(course: CallTrace) = Unit

            override fun leftOut() = Unit
        }
    }
}
