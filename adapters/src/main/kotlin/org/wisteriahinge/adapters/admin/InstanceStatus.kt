package org.wisteriahinge.adapters.admin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.wisteriahinge.core.lifecycle.Readiness

/** The answer of `/ready`. */
@Serializable
public data class ReadinessDocument(
    val ready: Boolean,
    val reason: String,
    val configuration: String
)

/** The answer of `/status`: what an operator looks at first. Holds no secret. */
@Serializable
public data class StatusDocument(
    val instance: String,
    val zone: String,
    val phase: String,
    val configuration: String,
    val revision: Long,
    @SerialName("newest_known_revision") val newestKnownRevision: Long,
    @SerialName("calls_in_progress") val callsInProgress: Int,
    @SerialName("calls_ring_waiting") val callsRingWaiting: Int,
    @SerialName("calls_ring_capacity") val callsRingCapacity: Int
)

/** What the admin server shows; asked for each request. */
public interface AdminView {
    /** Whether callers should be sent here. */
    public fun readiness(): Readiness

    /** Details for operators. */
    public fun status(): StatusDocument
}
