package org.wisteriahinge.adapters.backend

import java.time.Duration
import kotlinx.collections.immutable.PersistentList

/** A header field of a request or an answer. */
public data class HeaderField(val name: String, val value: String)

/**
 * A request as it is sent to a target.
 *
 * [pathAndQuery] is sent unchanged. [remaining] is the time until the head of the answer must have
 * arrived, and until the end of an answer without a declared length. [ownership] tells the answer
 * from those to other requests, which are skipped. [host] is sent as the `Host` header; null stands
 * for the target's address.
 *
 * A request that could not be written within [maxSendDelay] is not sent.
 *
 * A request that is not [isRepeatable] is sent only on a new connection, or on one that was idle
 * for at most [ConnectionLimits.maxIdleForNonRepeatable]. With [retryOnStaleConnection], a request
 * that fails because the target had closed a reused connection is sent again on a new one. This is
 * meant for requests like probes, which change nothing and are not counted as attempts.
 */
public class BackendRequest(
    public val method: String,
    public val pathAndQuery: String,
    public val headers: PersistentList<HeaderField>,
    public val body: RequestBody,
    public val remaining: Duration,
    public val ownership: AnswerOwnership = AnswerOwnership.NextAnswer,
    public val host: String? = null,
    public val isRepeatable: Boolean = true,
    public val retryOnStaleConnection: Boolean = false,
    public val maxSendDelay: Duration? = null
)
