package org.wisteriahinge.runtime

import java.time.Duration
import org.wisteriahinge.core.call.CallEvent

/** Tells the `calls` duty every [period] that time passed. */
public class TimerDuty(private val inbox: Ring<CallMessage>, private val period: Duration) :
    Duty("timer") {
    override fun runOnce() {
        Thread.sleep(period.toMillis())
        // A full ring drops the tick; the next one does the same work.
        inbox.offer(CallMessage(CallEvent.Ticked))
    }
}
