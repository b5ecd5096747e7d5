package org.wisteriahinge.runtime

import io.github.oshai.kotlinlogging.KotlinLogging
import java.time.Duration

private val logger = KotlinLogging.logger {}

/**
 * One thread with one purpose. Subclasses own state that no other thread touches.
 *
 * [runOnce] blocks while there is nothing to do. An exception in it is logged and the duty goes
 * on with the next message, because the state is replaced only after a decision succeeded.
 */
public abstract class Duty(public val name: String) {
    private val thread = Thread(::runUntilInterrupted, "duty-$name").apply { isDaemon = true }

    /** Handles one message or one period. */
    protected abstract fun runOnce()

    /** Starts the thread. */
    public fun start() {
        thread.start()
    }

    /** Interrupts the thread and waits for it to end, for at most [timeout]. */
    public fun stop(timeout: Duration) {
        thread.interrupt()
        thread.join(timeout.toMillis())
    }

    /** Interrupts what the thread waits for; [runOnce] decides whether it goes on. */
    protected fun interrupt() {
        thread.interrupt()
    }

    private fun runUntilInterrupted() {
        while (!Thread.currentThread().isInterrupted) {
            try {
                runOnce()
            } catch (_: InterruptedException) {
                return
            } catch (e: RuntimeException) {
                logger.error(e) { "duty $name failed on one message and continues" }
            }
        }
    }
}
