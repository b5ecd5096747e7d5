@file:OptIn(ExperimentalSerializationApi::class)

package org.wisteriahinge.adapters.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.wisteriahinge.core.membership.PeerMessage

/** Version of the message format that [PeerCodec] writes and reads. */
public const val PEER_MESSAGE_VERSION: Byte = 1

/** Largest encoded message in bytes, including its HMAC and its version. */
public const val MAX_PEER_MESSAGE_BYTES: Int = 64 * 1024

private const val ALGORITHM = "HmacSHA256"

/** Half of the digest, which RFC 2104 permits; keeps heartbeats within their traffic budget. */
private const val HMAC_BYTES = 16
private const val VERSION_BYTES = 1

/** Why a message cannot be sent or was dropped on receipt. */
public sealed class PeerMessageFault(public val wireName: String) {
    /** Longer than [MAX_PEER_MESSAGE_BYTES] or too short to be a message. */
    public data object BadSize : PeerMessageFault("bad_size")

    /** The HMAC does not match: the sender has another peer key, or the message was altered. */
    public data object NotAuthentic : PeerMessageFault("not_authentic")

    /** The version is not [PEER_MESSAGE_VERSION]. */
    public data object UnknownVersion : PeerMessageFault("unknown_version")

    /** The CBOR is not a message of [PEER_MESSAGE_VERSION]. */
    public data object Malformed : PeerMessageFault("malformed")
}

/**
 * Encodes and authenticates messages between instances.
 *
 * A message is the first half of its HMAC-SHA-256 (16 bytes), its version (1 byte) and its
 * CBOR; the HMAC covers version and CBOR.
 */
public class PeerCodec(key: ByteArray) {
    private val keySpec = SecretKeySpec(key, ALGORITHM)
    private val cbor = Cbor {
        preferCborLabelsOverNames = true
        useDefiniteLengthEncoding = true
        ignoreUnknownKeys = true
    }

    /**
     * Encodes [message], or returns [PeerMessageFault.BadSize] if it would exceed
     * [MAX_PEER_MESSAGE_BYTES].
     */
    public fun encode(message: PeerMessage): Result<ByteArray, PeerMessageFault> {
        val body = cbor.encodeToByteArray(PeerWire.serializer(), message.toWire())
        val content = byteArrayOf(PEER_MESSAGE_VERSION) + body
        val encoded = hmac(content) + content
        return if (encoded.size <= MAX_PEER_MESSAGE_BYTES) {
            Ok(encoded)
        } else {
            Err(PeerMessageFault.BadSize)
        }
    }

    /** Verifies and decodes [bytes], or returns why the message must be dropped. */
    public fun decode(bytes: ByteArray): Result<PeerMessage, PeerMessageFault> {
        if (bytes.size <= HMAC_BYTES + VERSION_BYTES || bytes.size > MAX_PEER_MESSAGE_BYTES) {
            return Err(PeerMessageFault.BadSize)
        }
        val content = bytes.copyOfRange(HMAC_BYTES, bytes.size)
        val authentic = MessageDigest.isEqual(hmac(content), bytes.copyOf(HMAC_BYTES))
        return when {
            !authentic -> Err(PeerMessageFault.NotAuthentic)
            content[0] != PEER_MESSAGE_VERSION -> Err(PeerMessageFault.UnknownVersion)
            else -> decodeBody(content.copyOfRange(VERSION_BYTES, content.size))
        }
    }

    private fun decodeBody(body: ByteArray): Result<PeerMessage, PeerMessageFault> = try {
        Ok(cbor.decodeFromByteArray(PeerWire.serializer(), body).toMessage())
    } catch (_: SerializationException) {
        Err(PeerMessageFault.Malformed)
    } catch (_: IllegalArgumentException) {
        Err(PeerMessageFault.Malformed)
    }

    private fun hmac(content: ByteArray): ByteArray =
        Mac.getInstance(ALGORITHM).apply { init(keySpec) }.doFinal(content).copyOf(HMAC_BYTES)
}
