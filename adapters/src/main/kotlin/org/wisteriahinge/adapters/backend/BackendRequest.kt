package org.wisteriahinge.adapters.backend

import kotlinx.collections.immutable.PersistentList

/** A header that is passed on. */
public data class HeaderField(val name: String, val value: String)

/** A request as it is sent to a target. [body] is null when there is none. */
public class BackendRequest(
    public val method: String,
    public val pathAndQuery: String,
    public val headers: PersistentList<HeaderField>,
    public val body: ByteArray?,
    public val remainingMillis: Long
)
