package org.wisteriahinge.adapters.caller

import java.util.concurrent.atomic.AtomicReference
import org.wisteriahinge.core.call.Attempt

/**
 * Decides whether an answer may be delivered without waiting for the `calls` duty.
 *
 * This holds for the answer of a call's only attempt if the duty would deliver it in any case.
 * After a second attempt has started, the duty chooses between the answers.
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

    /** Records the start of an attempt; false if an answer is already being delivered. */
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

    /** Claims the delivery of the answer of [attempt] with [status]; false if the duty decides. */
    fun tryDeliver(attempt: Attempt, status: Int): Boolean =
        attempt.isDeliverable(status) && phase.compareAndSet(Phase.Single, Phase.Delivering)
}
