package org.wisteriahinge.adapters.caller

import java.security.MessageDigest
import java.util.HexFormat
import java.util.zip.CRC32
import org.wisteriahinge.adapters.backend.RequestBody
import org.wisteriahinge.core.call.RequestContent
import org.wisteriahinge.core.model.RequestDigest

/** Bytes of the hash that a digest keeps; two requests with the same one are improbable. */
private const val DIGEST_BYTES = 16

/**
 * The content of a request, by which instances recognize its resends.
 *
 * Of a body that is forwarded while it arrives, only the declared length is known. Such a request
 * is recognized only if it comes from the same [callerAddress], because many uploads share path and
 * length.
 */
internal class ReceivedContent(
    private val callerAddress: String?,
    private val host: String?,
    private val head: RequestHead,
    private val body: RequestBody
) : RequestContent {
    private val ofCaller by lazy(LazyThreadSafetyMode.PUBLICATION) { digest("$callerAddress ") }
    private val ofAnyCaller by lazy(LazyThreadSafetyMode.PUBLICATION) { digest("") }

    /** Routes ignore the port of the host, and so do the services behind them. */
    private val line: String
        get() = "${head.method} ${host?.substringBefore(':')?.lowercase()} ${head.target}"

    override fun digest(): RequestDigest = ofCaller

    override fun digestOfAnyCaller(): RequestDigest? = when (body) {
        RequestBody.None, is RequestBody.Buffered -> ofAnyCaller
        is RequestBody.Streamed -> null
    }

    override fun fingerprint(): Long? = when (body) {
        RequestBody.None -> fingerprint(bodyHash = 0)
        is RequestBody.Buffered -> fingerprint(CRC32().apply { update(body.bytes) }.value)
        is RequestBody.Streamed -> null
    }

    private fun fingerprint(bodyHash: Long): Long =
        line.hashCode().toLong() shl Int.SIZE_BITS xor bodyHash

    private fun digest(prefix: String): RequestDigest {
        val hash = MessageDigest.getInstance("SHA-256")
        hash.update("$prefix$line\n".encodeToByteArray())
        when (body) {
            RequestBody.None -> Unit
            is RequestBody.Buffered -> hash.update(body.bytes)
            is RequestBody.Streamed -> hash.update("length ${body.lengthBytes}".encodeToByteArray())
        }
        return RequestDigest(HexFormat.of().formatHex(hash.digest(), 0, DIGEST_BYTES))
    }
}
