package org.wisteriahinge.adapters.caller

import java.time.Instant
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.call.Attempt
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.AttemptId
import org.wisteriahinge.core.model.Target
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.Zone
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Guards against two answers to one call, and against delivering an error that is retried. */
class ImmediateDeliveryTest {
    private val target = Target(TargetId("t"), Zone("z"), Address("127.0.0.1", 1), slots = 3)
    private val attempt = Attempt(AttemptId(1), 1, target, Instant.EPOCH)

    @Test
    fun `the answer of the only attempt is delivered immediately and only once`() {
        val delivery = ImmediateDelivery()
        expectThat(delivery.tryStartAttempt()).isTrue()
        expectThat(delivery.tryDeliver(attempt, 200)).isTrue()
        expectThat(delivery.tryDeliver(attempt, 200)).isFalse()
    }

    @Test
    fun `a server error is left to the retry decision`() {
        val delivery = ImmediateDelivery()
        delivery.tryStartAttempt()
        expectThat(delivery.tryDeliver(attempt, 503)).isFalse()
    }

    @Test
    fun `with a second attempt no answer is delivered immediately`() {
        val delivery = ImmediateDelivery()
        delivery.tryStartAttempt()
        expectThat(delivery.tryStartAttempt()).isTrue()
        expectThat(delivery.tryDeliver(attempt, 200)).isFalse()
    }

    @Test
    fun `a hedge is not sent after delivery began`() {
        val delivery = ImmediateDelivery()
        delivery.tryStartAttempt()
        delivery.tryDeliver(attempt, 200)
        expectThat(delivery.tryStartAttempt()).isFalse()
    }
}
