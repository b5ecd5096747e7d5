package org.wisteriahinge.core.quarantine

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf

/** Most fingerprints of a generation, which bounds memory and the time that is covered. */
private const val MAX_FINGERPRINTS = 2_048

/** Time after which an answer no longer shows that the same content is harmless. */
private val MAX_GENERATION_AGE: Duration = Duration.ofMinutes(1)

/**
 * The fingerprints of requests that were answered a short time ago, in two generations.
 *
 * The older generation is dropped when the [current] one is full or too old.
 */
public data class AnsweredContent(
    val current: PersistentSet<Long> = persistentHashSetOf(),
    val previous: PersistentSet<Long> = persistentHashSetOf(),
    val startedAt: Instant = Instant.EPOCH
) {
    /** Whether a request with this [fingerprint] was answered within the last generations. */
    internal fun contains(fingerprint: Long, now: Instant): Boolean = when {
        now >= startedAt + MAX_GENERATION_AGE.multipliedBy(2) -> false
        fingerprint in current -> true
        else -> now < startedAt + MAX_GENERATION_AGE && fingerprint in previous
    }

    /** Records that a request with this [fingerprint] was answered at [now]. */
    internal fun add(fingerprint: Long, now: Instant): AnsweredContent {
        val isOver = current.size >= MAX_FINGERPRINTS || now >= startedAt + MAX_GENERATION_AGE
        if (isOver) return AnsweredContent(persistentHashSetOf(fingerprint), current, now)
        return if (fingerprint in current) this else copy(current = current.add(fingerprint))
    }
}
