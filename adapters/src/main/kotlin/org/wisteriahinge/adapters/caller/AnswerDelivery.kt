package org.wisteriahinge.adapters.caller

import io.ktor.http.Headers
import io.ktor.http.HeadersBuilder
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respond
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import java.io.IOException
import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.coroutines.withTimeoutOrNull
import org.wisteriahinge.adapters.backend.AnswerBody
import org.wisteriahinge.adapters.backend.BackendAnswer
import org.wisteriahinge.adapters.backend.HeaderField
import org.wisteriahinge.adapters.backend.TruncatedAnswerException
import org.wisteriahinge.core.call.CallRequest

/**
 * Receives a copy of an answer that was passed on completely.
 *
 * [maxBytes] bounds the copied body; a longer answer is not captured.
 */
public interface AnswerListener {
    public val maxBytes: Int

    /** Whether the answer to [request] is wanted; asked before the answer is passed on. */
    public fun wants(request: CallRequest): Boolean

    /** Called once the whole answer was passed on. Must not block. */
    public fun delivered(request: CallRequest, answer: CapturedAnswer)
}

/** An answer with its whole body. */
public class CapturedAnswer(
    public val status: Int,
    public val headers: PersistentList<HeaderField>,
    public val body: ByteArray
)

/** How an answer was passed on. */
internal sealed interface DeliveryEnd {
    data object Complete : DeliveryEnd

    /** The target's answer ended early. */
    data object Truncated : DeliveryEnd

    /** The caller closed its connection. */
    data object CallerGone : DeliveryEnd
}

/** Passes [answer] on to [call]; [capture] sees each piece of the body. */
internal suspend fun deliver(
    call: ApplicationCall,
    answer: BackendAnswer,
    services: ExchangeServices,
    capture: AnswerCapture
): DeliveryEnd {
    val status = HttpStatusCode.fromValue(answer.status)
    val headers = HeadersBuilder().apply {
        services.rules.delivered(answer.headers).forEach { append(it.name, it.value) }
    }.build()
    return try {
        when (val body = answer.body) {
            is AnswerBody.Absent -> {
                call.respond(BodilessContent(status, headers, body.lengthBytes))
                DeliveryEnd.Complete
            }
            is AnswerBody.Whole -> {
                capture.add(body.bytes)
                call.respond(WholeContent(status, headers, body.bytes))
                DeliveryEnd.Complete
            }
            is AnswerBody.Streamed -> {
                val content = StreamedContent(status, headers, body, services.stall, capture)
                call.respond(content)
                content.end
            }
        }
    } catch (e: IOException) {
        if (isTruncation(e)) DeliveryEnd.Truncated else DeliveryEnd.CallerGone
    }
}

private class BodilessContent(
    override val status: HttpStatusCode,
    override val headers: Headers,
    override val contentLength: Long?
) : OutgoingContent.NoContent()

private class WholeContent(
    override val status: HttpStatusCode,
    override val headers: Headers,
    private val bytes: ByteArray
) : OutgoingContent.ByteArrayContent() {
    override val contentLength: Long get() = bytes.size.toLong()

    override fun bytes(): ByteArray = bytes
}

private class StreamedContent(
    override val status: HttpStatusCode,
    override val headers: Headers,
    private val body: AnswerBody.Streamed,
    private val stall: Duration,
    private val capture: AnswerCapture
) : OutgoingContent.WriteChannelContent() {
    override val contentLength: Long? get() = body.lengthBytes

    @Volatile
    var end: DeliveryEnd = DeliveryEnd.Truncated
        private set

    override suspend fun writeTo(channel: ByteWriteChannel) {
        var passedOn = 0L
        while (true) {
            val piece = nextPiece() ?: break
            channel.writeFully(piece)
            channel.flush()
            capture.add(piece)
            passedOn += piece.size
        }
        if (body.lengthBytes != null && passedOn != body.lengthBytes) {
            throw TruncatedAnswerException("$passedOn of ${body.lengthBytes} bytes")
        }
        end = DeliveryEnd.Complete
    }

    private suspend fun nextPiece(): ByteArray? {
        val next = withTimeoutOrNull(stall.toMillis()) { Piece(body.pieces.next()) }
            ?: throw TruncatedAnswerException("no data for ${stall.toMillis()} ms")
        return next.bytes
    }

    private class Piece(val bytes: ByteArray?)
}

/** Whether [failure] is the early end of a target's answer. */
private fun isTruncation(failure: IOException): Boolean =
    generateSequence<Throwable>(failure) { it.cause }.any { it is TruncatedAnswerException }
