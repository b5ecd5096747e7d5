package org.wisteriahinge.adapters.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import io.netty.channel.Channel as NettyChannel
import io.netty.util.AttributeKey
import java.io.ByteArrayOutputStream
import java.time.Duration
import java.util.concurrent.Semaphore
import kotlinx.coroutines.withTimeoutOrNull
import org.wisteriahinge.adapters.backend.BodyFaultException
import org.wisteriahinge.adapters.backend.BodySource
import org.wisteriahinge.adapters.backend.RequestBody
import org.wisteriahinge.core.model.RefusalReason

/** Set on a connection whose request body has invalid framing. */
internal val MalformedBody: AttributeKey<Boolean> = AttributeKey.valueOf("malformed-body")

private const val PIECE_BYTES = 16 * 1_024
private const val BYTES_PER_KIB = 1_024

/** Bounds of callers' bodies and of the memory that they use. */
public data class BodyLimits(
    val bufferedBytes: Int = 256 * BYTES_PER_KIB,
    val bufferedTotalBytes: Long = 64L * BYTES_PER_KIB * BYTES_PER_KIB,
    val stall: Duration = Duration.ofSeconds(10)
)

/** A body ready to be sent, and the memory that is given back when its call ends. */
internal class ReadBody(val body: RequestBody, private val release: () -> Unit = {}) {
    fun release() = release.invoke()
}

/**
 * Reads callers' bodies. A body of up to [BodyLimits.bufferedBytes] is kept in memory, so that it
 * can be sent again, while the total stays within [BodyLimits.bufferedTotalBytes]. Any other body
 * is passed on once.
 */
internal class BodyReader(private val limits: BodyLimits) {
    private val freeKib = Semaphore((limits.bufferedTotalBytes / BYTES_PER_KIB).toInt())

    suspend fun read(
        head: RequestHead,
        content: ByteReadChannel,
        connection: NettyChannel,
        maxBytes: Long
    ): Result<ReadBody, RefusalReason> {
        val source = CallerBody(content, limits.stall, maxBytes, connection)
        val reservedBytes = head.contentLength ?: limits.bufferedBytes.toLong()
        val kib = (reservedBytes / BYTES_PER_KIB + 1).toInt()
        return when {
            !head.hasBody -> Ok(ReadBody(RequestBody.None))
            reservedBytes > maxBytes -> Err(RefusalReason.BodyTooLarge)
            reservedBytes > limits.bufferedBytes || !freeKib.tryAcquire(kib) ->
                Ok(ReadBody(RequestBody.Once(head.contentLength, source)))
            else -> buffer(head, source) { freeKib.release(kib) }
        }
    }

    private suspend fun buffer(
        head: RequestHead,
        source: CallerBody,
        release: () -> Unit
    ): Result<ReadBody, RefusalReason> {
        val prefix = ByteArrayOutputStream(head.contentLength?.toInt() ?: PIECE_BYTES)
        try {
            while (prefix.size() <= limits.bufferedBytes) {
                val piece = source.next()
                    ?: return Ok(ReadBody(RequestBody.Whole(prefix.toByteArray()), release))
                prefix.write(piece)
            }
        } catch (e: BodyFaultException) {
            release()
            return Err(e.reason)
        } catch (e: Throwable) {
            release()
            throw e
        }
        release()
        return Ok(ReadBody(RequestBody.Once(null, Prefixed(prefix.toByteArray(), source))))
    }
}

/** The bytes that a caller sends, with the limits on its size and pace. */
private class CallerBody(
    private val content: ByteReadChannel,
    private val stall: Duration,
    private val maxBytes: Long,
    private val connection: NettyChannel
) : BodySource {
    private val buffer = ByteArray(PIECE_BYTES)
    private var receivedBytes = 0L

    override suspend fun next(): ByteArray? {
        val count = withTimeoutOrNull(stall.toMillis()) { content.readAvailable(buffer) }
            ?: throw BodyFaultException(RefusalReason.SlowSender)
        if (count < 0) return end()
        receivedBytes += count
        if (receivedBytes > maxBytes) throw BodyFaultException(RefusalReason.BodyTooLarge)
        return buffer.copyOf(count)
    }

    private fun end(): ByteArray? {
        if (connection.attr(MalformedBody).get() == true) {
            throw BodyFaultException(RefusalReason.MalformedRequest)
        }
        return null
    }
}

/** Bytes that were read already, followed by the rest. */
private class Prefixed(private var prefix: ByteArray?, private val rest: BodySource) : BodySource {
    override suspend fun next(): ByteArray? {
        val first = prefix ?: return rest.next()
        prefix = null
        return first
    }
}
