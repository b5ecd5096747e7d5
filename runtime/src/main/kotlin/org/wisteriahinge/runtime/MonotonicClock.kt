package org.wisteriahinge.runtime

import java.time.Clock
import java.time.Duration
import java.time.Instant
import java.time.ZoneId
import java.time.ZoneOffset

/**
 * A clock that advances with the steady time of the machine, whatever happens to its time of day.
 *
 * It starts at the time of day of its construction. Deadlines measured by it are not moved when
 * the time of day is corrected.
 */
public class MonotonicClock(private val zone: ZoneId = ZoneOffset.UTC) : Clock() {
    private val start: Instant = Instant.now()
    private val startNanos = System.nanoTime()

    override fun instant(): Instant = start + Duration.ofNanos(System.nanoTime() - startNanos)

    override fun getZone(): ZoneId = zone

    override fun withZone(zone: ZoneId): Clock = MonotonicClock(zone)
}
