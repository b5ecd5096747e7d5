package org.wisteriahinge.adapters.caller

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.wisteriahinge.core.model.Refusal

/** The RFC 9457 problem document that callers receive for a refusal. */
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

        /** Describes [refusal]; [callId] is the id of the call in the log. */
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
