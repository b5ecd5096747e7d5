package org.wisteriahinge.adapters.admin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.wisteriahinge.core.lifecycle.Readiness

/** JSON body of the answer to a readiness check. */
@Serializable
public data class ReadinessDocument(
    val ready: Boolean,
    val reason: String,
    val configuration: String
)

/** JSON body of the answer to `/status`, a summary for operators. Contains no secrets. */
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
    @SerialName("calls_ring_capacity") val callsRingCapacity: Int,
    @SerialName("evacuated_zones") val evacuatedZones: List<String> = emptyList()
)

/** Source of what [AdminServer] reports. It is called for each request. */
public interface AdminView {
    /** Whether the instance is ready for calls, and why. */
    public fun readiness(): Readiness

    /** A summary of the instance's state. */
    public fun status(): StatusDocument
}
