package org.wisteriahinge.app

import java.time.Duration

/**
 * How soon every instance must know a change of a topic after the store accepted it.
 *
 * The platform states the bounds for [configuration] and for [targets], where a drain must be
 * known. A request that crashed three targets must not be sent on 3 s later, part of which the
 * check of the target and the write to the store take. Of the list of instances it is enough that
 * it is about right, because calls find out themselves which instance does not answer.
 *
 * An API key that a configuration takes away must not be accepted anywhere after [revocation], also
 * by instances that cannot read the store; null if there is no such bound.
 */
public data class PropagationBounds(
    val configuration: Duration = Duration.ofSeconds(2),
    val targets: Duration = Duration.ofSeconds(2),
    val crashes: Duration = Duration.ofMillis(2_800),
    val instances: Duration = Duration.ofSeconds(10),
    val revocation: Duration? = null
) {
    /**
     * How soon a change of the configuration must be known. An instance that reads it in half of
     * [revocation] accepts keys at all times, and for a while after it lost the store.
     */
    val configurationReads: Duration
        get() = revocation?.dividedBy(2)?.let { minOf(configuration, it) } ?: configuration
}
