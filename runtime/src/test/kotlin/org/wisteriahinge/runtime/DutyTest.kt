package org.wisteriahinge.runtime

import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isTrue

/** Guards against a message that ends a duty while the rest of the process goes on. */
class DutyTest {
    private class ThrowingDuty : Duty("test") {
        val messages = LinkedBlockingQueue<() -> Unit>()
        val failure = CompletableFuture<Throwable>()

        override fun runOnce() {
            try {
                messages.take().invoke()
            } catch (e: OutOfMemoryError) {
                Thread.currentThread().setUncaughtExceptionHandler { _, cause ->
                    failure.complete(cause)
                }
                throw e
            }
        }
    }

    private fun goesOnAfter(failure: Throwable): Boolean {
        val duty = ThrowingDuty()
        val handled = CountDownLatch(1)
        duty.messages.add { throw failure }
        duty.messages.add { handled.countDown() }
        duty.start()
        return handled.await(10, TimeUnit.SECONDS).also { duty.stop(Duration.ofSeconds(1)) }
    }

    @Test
    fun `a duty goes on after an exception`() {
        expectThat(goesOnAfter(IllegalStateException("test"))).isTrue()
    }

    @Test
    fun `a duty goes on after a stack overflow`() {
        expectThat(goesOnAfter(StackOverflowError())).isTrue()
    }

    @Test
    fun `any other error reaches the handler that ends the process`() {
        val duty = ThrowingDuty()
        duty.messages.add { throw OutOfMemoryError("test") }
        duty.start()
        expectThat(duty.failure.get(10, TimeUnit.SECONDS)).isA<OutOfMemoryError>()
    }
}
