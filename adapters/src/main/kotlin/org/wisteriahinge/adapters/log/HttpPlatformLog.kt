package org.wisteriahinge.adapters.log

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.timeout
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpStatusCode
import java.io.Closeable
import java.io.IOException
import java.net.ConnectException
import java.nio.channels.UnresolvedAddressException
import java.time.Duration
import java.util.Base64
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.channels.ClosedReceiveChannelException
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.wisteriahinge.runtime.LogBounds
import org.wisteriahinge.runtime.LogFailure
import org.wisteriahinge.runtime.LogRecord
import org.wisteriahinge.runtime.LogStream
import org.wisteriahinge.runtime.PlatformLog

/** JSON form of a record: its offset in the stream and its payload in base64. */
@Serializable
public data class WireRecord(val offset: Long, val payload: String)

/** JSON form of the range of retained offsets of a stream; [next] is that of the next append. */
@Serializable
public data class WireBounds(val earliest: Long, val next: Long)

/** JSON form of the answer to an append: the offset of its first record. */
@Serializable
public data class WireAppendResult(val offset: Long)

/** Request header with the id of an append. */
public const val APPEND_ID_HEADER: String = "Append-Id"

/**
 * Client of the platform's log over HTTP, as section 9 of the design page specifies.
 *
 * Each operation fails after [operationTimeout]; a read that waits for records may take as much
 * longer as it was asked to wait.
 */
public class HttpPlatformLog(private val baseUrl: String, private val operationTimeout: Duration) :
    PlatformLog,
    Closeable {
    private val client = HttpClient(CIO) {
        expectSuccess = false
        install(HttpTimeout)
    }

    override fun append(
        stream: LogStream,
        appendId: String,
        records: PersistentList<ByteArray>
    ): Result<Long, LogFailure> {
        val encoded = records.map { Base64.getEncoder().encodeToString(it) }
        return exchange(Duration.ZERO) { timeoutMillis ->
            client.post("$baseUrl/streams/${stream.wireName}") {
                timeout { requestTimeoutMillis = timeoutMillis }
                header(APPEND_ID_HEADER, appendId)
                setBody(Json.encodeToString(encoded))
            }
        }.flatMap { text -> parse<WireAppendResult>(text) }.map { it.offset }
    }

    override fun read(
        stream: LogStream,
        fromOffset: Long,
        max: Int,
        waitUpTo: Duration
    ): Result<PersistentList<LogRecord>, LogFailure> {
        val query = "from=$fromOffset&max=$max&wait_ms=${waitUpTo.toMillis()}"
        return exchange(waitUpTo) { timeoutMillis ->
            client.get("$baseUrl/streams/${stream.wireName}?$query") {
                timeout { requestTimeoutMillis = timeoutMillis }
            }
        }.flatMap { text -> parse<List<WireRecord>>(text) }
            .map { records -> records.map(::decode).toPersistentList() }
    }

    override fun bounds(stream: LogStream): Result<LogBounds, LogFailure> =
        exchange(Duration.ZERO) { timeoutMillis ->
            client.get("$baseUrl/streams/${stream.wireName}/bounds") {
                timeout { requestTimeoutMillis = timeoutMillis }
            }
        }.flatMap { text -> parse<WireBounds>(text) }.map { LogBounds(it.earliest, it.next) }

    private fun exchange(
        extra: Duration,
        send: suspend (timeoutMillis: Long) -> HttpResponse
    ): Result<String, LogFailure> = runBlocking {
        try {
            val answer = send(operationTimeout.plus(extra).toMillis())
            resultOf(answer.status, answer.bodyAsText())
        } catch (e: ConnectException) {
            Err(LogFailure.Unavailable(e.message ?: "connection refused"))
        } catch (_: UnresolvedAddressException) {
            Err(LogFailure.Unavailable("the host name in $baseUrl cannot be resolved"))
        } catch (e: IOException) {
            Err(LogFailure.OutcomeUnknown(e.message ?: e.javaClass.simpleName))
        } catch (e: ClosedReceiveChannelException) {
            Err(LogFailure.OutcomeUnknown(e.message ?: "connection closed"))
        }
    }

    /** Only 503 and the 4xx statuses guarantee that the log did not perform the operation. */
    private fun resultOf(status: HttpStatusCode, body: String): Result<String, LogFailure> = when {
        status == HttpStatusCode.OK -> Ok(body)
        status == HttpStatusCode.Gone ->
            parse<WireBounds>(body).flatMap { Err(LogFailure.Expired(it.earliest)) }
        status == HttpStatusCode.ServiceUnavailable || status.value in 400..499 ->
            Err(LogFailure.Unavailable("status ${status.value}"))
        else -> Err(LogFailure.OutcomeUnknown("status ${status.value}"))
    }

    private inline fun <reified T> parse(text: String): Result<T, LogFailure> = try {
        Ok(Json.decodeFromString<T>(text))
    } catch (_: IllegalArgumentException) {
        Err(LogFailure.OutcomeUnknown("the log's answer is not JSON of the expected form"))
    }

    /** A payload that is not base64 becomes an empty record, so that the offsets have no gap. */
    private fun decode(wire: WireRecord): LogRecord = try {
        LogRecord(wire.offset, Base64.getDecoder().decode(wire.payload))
    } catch (_: IllegalArgumentException) {
        LogRecord(wire.offset, ByteArray(0))
    }

    override fun close() {
        client.close()
    }
}
