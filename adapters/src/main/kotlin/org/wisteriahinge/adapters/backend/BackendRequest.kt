package org.wisteriahinge.adapters.backend

import java.time.Duration
import kotlinx.collections.immutable.PersistentList

/** A header that is passed on. */
public data class HeaderField(val name: String, val value: String)

/**
 * A request as it is sent to a target.
 *
 * [pathAndQuery] is sent byte for byte. [remaining] is the time until the head of the answer. An
 * answer that carries another value in the header [expectedEcho] belongs to another request. [host] is
 * sent as the `Host`, null for the target's address. A request that is not [isRepeatable] is sent
 * only on a connection that was used a moment ago, or on a new one. One that [retryOnStaleConnection] is sent
 * again on a new connection when a kept one turns out to be dead: it changes nothing, and nobody
 * counts it.
 */
public class BackendRequest(
    public val method: String,
    public val pathAndQuery: String,
    public val headers: PersistentList<HeaderField>,
    public val body: RequestBody,
    public val remaining: Duration,
    public val expectedEcho: HeaderField? = null,
    public val host: String? = null,
    public val isRepeatable: Boolean = true,
    public val retryOnStaleConnection: Boolean = false
)
