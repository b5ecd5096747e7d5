package org.wisteriahinge.runtime

import java.time.Clock
import org.wisteriahinge.core.call.CallCourse

private const val RING_CAPACITY = 256

/** Under overload most calls are refused; a few lines a second show what happens. */
private const val LINES_PER_SECOND = 20.0
private const val BURST_LINES = 100.0

/** Writes the courses of calls to the log, off the thread that decides. */
public class CourseDuty(private val clock: Clock, private val sink: CourseSink) : Duty("courses") {
    private val inbox = Ring<CallCourse>("courses", RING_CAPACITY)
    private var rateLimit = LogRateLimit(LINES_PER_SECOND, BURST_LINES)

    /** Hands [course] over for the log; never waits. */
    public fun submit(course: CallCourse) {
        if (inbox.offer(course) == Offer.Full) sink.leftOut()
    }

    override fun runOnce() {
        val course = inbox.take()
        val remaining = rateLimit.consume(clock.instant()) ?: return sink.leftOut()
        rateLimit = remaining
        sink.write(course)
    }
}

/** Where the courses of calls are written to. */
public interface CourseSink {
    public fun write(course: CallCourse)

    /** A course is not written, because there are too many. May be called on any thread. */
    public fun leftOut()

    public companion object {
        /** Writes nothing. */
        public val None: CourseSink = object : CourseSink {
            override fun write(course: CallCourse) = Unit

            override fun leftOut() = Unit
        }
    }
}
