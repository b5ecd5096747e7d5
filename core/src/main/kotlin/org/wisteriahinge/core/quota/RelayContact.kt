package org.wisteriahinge.core.quota

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.core.model.CallId

/** Time after a failure for which a relay is not asked for the tokens of waiting calls. */
private val AVOIDANCE: Duration = Duration.ofMillis(700)

/** Time after a failure, or after the last question, until a relay is asked whether it is back. */
private val CHECK_PERIOD: Duration = Duration.ofMillis(400)

/** An answer that did not arrive by then is lost; longer than the adapter waits for it. */
private val LOST_AFTER: Duration = Duration.ofSeconds(2)

/**
 * Part of its share that stands in for a relay that refuses connections. The list of instances,
 * which divide it evenly, may lack some that started just now.
 */
private const val SHARE_OF_REFUSING = 0.7

/**
 * Part of its share that stands in for a relay that does not answer. Other instances may get the
 * whole share from it, so that this part must fit into what a quota may be exceeded by.
 */
private const val SHARE_OF_SILENT = 0.02

/** A question to a relay: [calls] wait for its answer. */
public data class PendingQuestion(val askedAt: Instant, val calls: PersistentList<CallId>)

/** What is known of a relay: its last [failure], if it did not answer since, and the [question]. */
public data class RelayContact(
    val question: PendingQuestion? = null,
    val failure: RelayFailure? = null,
    val failedAt: Instant = Instant.MIN
) {
    /** Whether its answer does not come any more. */
    internal fun isLost(now: Instant): Boolean =
        question != null && now >= question.askedAt + LOST_AFTER

    /** Whether calls may wait for its tokens. */
    internal fun isUsable(now: Instant): Boolean = failure == null || now >= failedAt + AVOIDANCE

    /** Whether it is to be asked whether it is back. */
    internal fun isCheckDue(now: Instant): Boolean =
        question == null && !isUsable(now) && now >= failedAt + CHECK_PERIOD

    /** Part of its share that instances use themselves instead. */
    internal fun standInShare(now: Instant): Double = when {
        isUsable(now) -> 0.0
        failure == RelayFailure.Refused -> SHARE_OF_REFUSING
        else -> SHARE_OF_SILENT
    }
}
