package org.wisteriahinge.runtime

import java.time.Clock
import org.wisteriahinge.core.call.CallTrace

private const val RING_CAPACITY = 256

/** Limits the log's volume under overload, when most calls are refused and would be logged. */
private const val LINES_PER_SECOND = 20.0
private const val BURST_LINES = 100.0

/** Passes the traces of calls to [sink] on its own thread, at a limited rate. */
public class CallTraceDuty(private val clock: Clock, private val sink: CallTraceSink) :
    Duty("courses") {
    private val inbox = Ring<CallTrace>("courses", RING_CAPACITY)
    private var rateLimit = LogRateLimit(LINES_PER_SECOND, BURST_LINES)

    /** Queues [trace] without blocking; it is dropped if the ring is full. */
    public fun submit(trace: CallTrace) {
        if (inbox.offer(trace) == Offer.Full) sink.leftOut()
    }

    override fun runOnce() {
        val trace = inbox.take()
        val remaining = rateLimit.consume(clock.instant()) ?: return sink.leftOut()
        rateLimit = remaining
        sink.write(trace)
    }
}

/** Writes the traces of calls, for example to the log. */
public interface CallTraceSink {
    public fun write(trace: CallTrace)

    /** Counts a trace that is not written because of the rate limit. Called on any thread. */
    public fun leftOut()

    public companion object {
        /** A sink that ignores all traces. */
        public val None: CallTraceSink = object : CallTraceSink {
            override fun write(trace: CallTrace) = Unit

            override fun leftOut() = Unit
        }
    }
}
