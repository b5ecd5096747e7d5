package org.wisteriahinge.core.call

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** The result of a decision: the next state and the [effects] to perform, in order. */
public data class CallsDecision(
    val state: CallsState,
    val effects: PersistentList<CallEffect> = persistentListOf()
) {
    internal fun emit(effect: CallEffect): CallsDecision = copy(effects = effects.add(effect))

    internal fun emitAll(more: List<CallEffect>): CallsDecision =
        copy(effects = effects.addAll(more))

    internal fun update(change: (CallsState) -> CallsState): CallsDecision =
        copy(state = change(state))

    /** Applies [next] to the resulting state and appends its effects. */
    internal fun then(next: (CallsState) -> CallsDecision): CallsDecision {
        val decision = next(state)
        return CallsDecision(decision.state, effects.addAll(decision.effects))
    }
}
