package org.wisteriahinge.runtime

import io.github.oshai.kotlinlogging.KotlinLogging
import java.time.Duration

private val logger = KotlinLogging.logger {}

/**
 * A thread with a single task. A subclass owns state that no other thread modifies.
 *
 * [runOnce] is called repeatedly until [stop] and blocks while there is nothing to do. An exception
 * or a stack overflow in it is logged and the duty continues with the next message: the state is
 * replaced only after a decision succeeded, so it stays consistent. Any other error ends the thread
 * and reaches the handler of uncaught exceptions, which must end the process.
 */
public abstract class Duty(public val name: String) {
    private val thread = Thread(::runUntilInterrupted, "duty-$name").apply { isDaemon = true }

    /** Waits for and handles one message or one tick. */
    protected abstract fun runOnce()

    /** Starts the thread. */
    public fun start() {
        thread.start()
    }

    /** Interrupts the thread and waits up to [timeout] for it to end. */
    public fun stop(timeout: Duration) {
        thread.interrupt()
        thread.join(timeout.toMillis())
    }

    /** Interrupts a blocking operation of the thread; [runOnce] decides whether to continue. */
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
                logFailure(e)
            } catch (e: StackOverflowError) {
                logFailure(e)
            }
        }
    }

    private fun logFailure(cause: Throwable) =
        logger.error(cause) { "duty $name failed to handle a message and goes on to the next" }
}
