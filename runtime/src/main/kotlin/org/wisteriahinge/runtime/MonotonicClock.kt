package org.wisteriahinge.runtime

import java.time.Clock
import java.time.Duration
import java.time.Instant
import java.time.ZoneId
import java.time.ZoneOffset

/**
 * A clock that starts at the time of day of its construction and advances with [System.nanoTime].
 *
 * Deadlines measured with it do not move when the machine's time of day is corrected.
 */
public class MonotonicClock(private val zone: ZoneId = ZoneOffset.UTC) : Clock() {
    private val start: Instant = Instant.now()
    private val startNanos = System.nanoTime()

    override fun instant(): Instant = start + Duration.ofNanos(System.nanoTime() - startNanos)

    override fun getZone(): ZoneId = zone

    override fun withZone(zone: ZoneId): Clock = MonotonicClock(zone)
}
