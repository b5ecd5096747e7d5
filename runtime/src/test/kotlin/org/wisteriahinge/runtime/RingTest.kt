package org.wisteriahinge.runtime

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class RingTest {
    @Test
    fun `a full ring refuses new work and still accepts reserved messages`() {
        val ring = Ring<Int>("test", capacity = 3, reserved = 1)
        expectThat(ring.offer(1)).isEqualTo(Offer.Accepted)
        expectThat(ring.offer(2)).isEqualTo(Offer.Accepted)
        expectThat(ring.offer(3)).isEqualTo(Offer.Full)
        expectThat(ring.offerReserved(4)).isEqualTo(Offer.Accepted)
        expectThat(ring.offerReserved(5)).isEqualTo(Offer.Full)
        expectThat(listOf(ring.take(), ring.take(), ring.take())).isEqualTo(listOf(1, 2, 4))
    }
}
