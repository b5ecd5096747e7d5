package org.wisteriahinge.runtime

import java.time.Duration

/**
 * Reports to another duty that [period] passed.
 *
 * [tick] is called on this thread and must not block; a tick that finds no room in its ring is
 * dropped, because the next one serves the same purpose.
 */
public class TimerDuty(name: String, private val period: Duration, private val tick: () -> Unit) :
    Duty("timer-$name") {
    override fun runOnce() {
        Thread.sleep(period.toMillis())
        tick()
    }
}
