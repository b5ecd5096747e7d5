package org.wisteriahinge.runtime

import java.time.Clock
import org.wisteriahinge.core.call.CallTrace

private const val RING_CAPACITY = 256

/** Under overload most calls are refused; a few lines a second show what happens. */
private const val LINES_PER_SECOND = 20.0
private const val BURST_LINES = 100.0

/** Writes the courses of calls to the log, off the thread that decides. */
public class CourseDuty(private val clock: Clock, private val sink: CourseSink) : Duty("courses") {
    private val inbox = Ring<CallTrace>("courses", RING_CAPACITY)
    private var allowance = LineAllowance(LINES_PER_SECOND, BURST_LINES)

    /** Hands [course] over for the log; never waits. */
    public fun explain(course: CallTrace) {
        if (inbox.offer(course) == Offer.Full) sink.leftOut()
    }

    override fun runOnce() {
        val course = inbox.take()
        val spent = allowance.spend(clock.instant()) ?: return sink.leftOut()
        allowance = spent
        sink.write(course)
    }
}

/** Where the courses of calls are written to. */
public interface CourseSink {
    public fun write(course: CallTrace)

    /** A course is not written, because there are too many. May be called on any thread. */
    public fun leftOut()

    public companion object {
        /** Writes nothing. */
        public val None: CourseSink = object : CourseSink {
            override fun write(course: CallTrace) = Unit

            override fun leftOut() = Unit
        }
    }
}
