package org.wisteriahinge.adapters.caller

import java.util.concurrent.atomic.AtomicReference
import org.wisteriahinge.core.call.Attempt

/**
 * Who decides that an answer is delivered.
 *
 * The answer to a call's only attempt is delivered at once when the decisions would deliver it in
 * any case, which saves waiting for the `calls` duty. With a second attempt the decisions choose.
 */
internal class ImmediateDelivery {
    private sealed interface Phase {
        /** No attempt was started. */
        data object None : Phase

        /** One attempt was started and has no answer yet. */
        data object Single : Phase

        /** Its answer is being delivered. */
        data object Delivering : Phase

        /** Several attempts were started. */
        data object Several : Phase
    }

    private val phase = AtomicReference<Phase>(Phase.None)

    /** Notes that an attempt starts; false when an answer is already being delivered. */
    fun tryStartAttempt(): Boolean {
        val next = phase.updateAndGet {
            when (it) {
                Phase.None -> Phase.Single
                Phase.Single, Phase.Several -> Phase.Several
                Phase.Delivering -> Phase.Delivering
            }
        }
        return next != Phase.Delivering
    }

    /** Whether the answer of [attempt] with [status] is delivered without asking. */
    fun tryDeliver(attempt: Attempt, status: Int): Boolean =
        attempt.isDeliverable(status) && phase.compareAndSet(Phase.Single, Phase.Delivering)
}
