package org.wisteriahinge.core.keys

import java.time.Duration
import java.time.Instant
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

private val BOUND: Duration = Duration.ofSeconds(5)

/** Callers are owed service with a key until this share of the bound after the store was lost. */
private const val OWED_SHARE = 0.6

/** Guards against a key that is accepted after the bound because a clock misleads the instance. */
class KeyTrustTest {
    private val steadyStart = Instant.parse("2026-01-01T00:00:00Z")
    private val dayStart = Instant.parse("2026-05-05T12:00:00Z")

    /** An instance that confirmed its configuration [steady] and [ofDay] ago by its clocks. */
    private fun accepts(steady: Duration, ofDay: Duration = steady): Boolean {
        val now = steadyStart + steady
        val lead = Duration.between(now, dayStart + ofDay)
        return KeyTrust(BOUND).confirmed(ClockReading(steadyStart, dayStart))
            .copy(timeOfDayLead = lead).acceptsKeys(now)
    }

    private fun seconds(value: Double) = Duration.ofMillis((value * 1_000).toLong())

    @Test
    fun `keys are accepted while service is owed, and not up to the bound`() {
        expectThat(accepts(seconds(0.0))).isTrue()
        expectThat(accepts(BOUND.multipliedBy((OWED_SHARE * 10).toLong()).dividedBy(10))).isTrue()
        expectThat(accepts(seconds(4.49))).isTrue()
        expectThat(accepts(seconds(4.5))).isFalse()
        expectThat(accepts(seconds(60.0))).isFalse()
    }

    @Test
    fun `a machine that was suspended counts the time that only its time of day shows`() {
        expectThat(accepts(steady = seconds(0.2), ofDay = seconds(30.2))).isFalse()
    }

    @Test
    fun `a process that stood still counts the time that its steady clock shows`() {
        expectThat(accepts(steady = seconds(30.2), ofDay = seconds(0.2))).isFalse()
    }

    @Test
    fun `a time of day that goes back never makes the configuration younger`() {
        expectThat(accepts(steady = seconds(1.0), ofDay = seconds(-4.0))).isFalse()
        expectThat(accepts(steady = seconds(4.6), ofDay = seconds(1.6))).isFalse()
        expectThat(accepts(steady = seconds(-1.0), ofDay = seconds(1.0))).isFalse()
    }

    @Test
    fun `an ordinary correction of the time of day refuses nothing`() {
        expectThat(accepts(steady = Duration.ZERO, ofDay = Duration.ofMillis(-60))).isTrue()
    }

    @Test
    fun `after a jump keys are accepted again with the next read`() {
        val now = steadyStart.plusSeconds(2)
        val jumped = KeyTrust(BOUND).confirmed(ClockReading(steadyStart, dayStart))
            .copy(timeOfDayLead = Duration.between(now, dayStart.plusSeconds(12)))
        expectThat(jumped.acceptsKeys(now)).isFalse()
        val read = jumped.confirmed(ClockReading(now, dayStart.plusSeconds(12)))
        expectThat(read.acceptsKeys(now)).isTrue()
    }

    @Test
    fun `a machine that is suspended during a read does not date its records after it`() {
        // The relay told an age; the read began before the suspension and its answer came after.
        val began = ClockReading(steadyStart, dayStart)
        val trust = KeyTrust(BOUND).confirmed(began.at(steadyStart.plusMillis(800)))
        val now = steadyStart.plusMillis(900)
        val lead = Duration.between(now, dayStart.plusMillis(900) + Duration.ofSeconds(20))
        expectThat(trust.copy(timeOfDayLead = lead).acceptsKeys(now)).isFalse()
    }

    @Test
    fun `a request with a key is not sent after the bound, however long it waits inside`() {
        val trust = KeyTrust(BOUND).confirmed(ClockReading(steadyStart, dayStart))
            .copy(timeOfDayLead = Duration.between(steadyStart, dayStart))
        val startedAt = steadyStart.plusSeconds(4)
        expectThat(trust.sendBy(startedAt)).isEqualTo(steadyStart + BOUND)
        expectThat(KeyTrust().sendBy(startedAt)).isNull()
    }

    @Test
    fun `without a bound keys are accepted at any age, with one not before the first read`() {
        expectThat(KeyTrust().acceptsKeys(steadyStart)).isTrue()
        expectThat(KeyTrust(BOUND).acceptsKeys(steadyStart)).isFalse()
    }
}
