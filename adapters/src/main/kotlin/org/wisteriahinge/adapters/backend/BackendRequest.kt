package org.wisteriahinge.adapters.backend

import java.time.Duration
import kotlinx.collections.immutable.PersistentList

/** A header that is passed on. */
public data class HeaderField(val name: String, val value: String)

/**
 * A request as it is sent to a target.
 *
 * [pathAndQuery] is sent byte for byte. [remaining] is the time until the head of the answer.
 */
public class BackendRequest(
    public val method: String,
    public val pathAndQuery: String,
    public val headers: PersistentList<HeaderField>,
    public val body: RequestBody,
    public val remaining: Duration
)
