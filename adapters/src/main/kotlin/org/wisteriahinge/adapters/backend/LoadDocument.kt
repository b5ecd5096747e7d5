package org.wisteriahinge.adapters.backend

import java.time.Clock
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.Target

/** Body of a target's answer to `GET /load`. */
@Serializable
internal data class LoadDocument(
    @SerialName("in_flight") val inFlight: Int,
    val slots: Int,
    val state: String
)

private const val DRAINING = "draining"
private val json = Json { ignoreUnknownKeys = true }

/** Reads a [LoadDocument] from the answer to a probe. */
public object LoadDocumentReader : ProbeReader {
    override fun read(answer: BackendAnswer, target: Target, clock: Clock): CallEvent {
        val text = (answer.body as? AnswerBody.Whole)?.bytes?.decodeToString().orEmpty()
        return try {
            val document = json.decodeFromString<LoadDocument>(text)
            val draining = document.state == DRAINING
            val load = LoadReport(document.inFlight, document.slots, clock.instant(), draining)
            CallEvent.LoadReported(target.id, load)
        } catch (_: SerializationException) {
            CallEvent.ProbeFailed(target.id)
        }
    }
}
