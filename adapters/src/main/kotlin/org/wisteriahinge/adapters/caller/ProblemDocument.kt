package org.wisteriahinge.adapters.caller

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.wisteriahinge.core.model.Refusal

/** An RFC 9457 problem document for a refusal. */
@Serializable
public data class ProblemDocument(
    val type: String,
    val title: String,
    val status: Int,
    val detail: String,
    val execution: String,
    @SerialName("call_id") val callId: String
) {
    /** The document as JSON. */
    public fun toJson(): String = Json.encodeToString(serializer(), this)

    public companion object {
        /** Media type of a problem document. */
        public const val MEDIA_TYPE: String = "application/problem+json"

        /** Describes [refusal] of the call that callers and logs know as [callId]. */
        public fun of(refusal: Refusal, callId: String): ProblemDocument = ProblemDocument(
            type = "urn:wisteriahinge:refusal:${refusal.reason.wireName}",
            title = refusal.reason.title,
            status = refusal.reason.status,
            detail = refusal.reason.remedy,
            execution = refusal.execution.wireName,
            callId = callId
        )
    }
}
