package org.wisteriahinge.runtime

/** Performs the effects of decisions. Called on the duty's thread, so it must not block. */
public fun interface EffectSink<E> {
    public fun perform(effect: E)
}
