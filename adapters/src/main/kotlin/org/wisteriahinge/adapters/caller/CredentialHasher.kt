package org.wisteriahinge.adapters.caller

import java.util.HexFormat
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec
import org.wisteriahinge.core.call.PresentedCredential
import org.wisteriahinge.core.model.CredentialId
import org.wisteriahinge.core.model.RequestDigest

private const val ALGORITHM = "HmacSHA256"
private const val BEARER_PREFIX = "Bearer "

/** The token of the header value `Bearer <token>`; null if it has another form. */
internal fun String.bearerToken(): String? = if (startsWith(BEARER_PREFIX, ignoreCase = true)) {
    drop(BEARER_PREFIX.length).trim()
} else {
    null
}

/** Computes keyed hashes of credentials and requests with the deployment's credential key. */
public class CredentialHasher(key: ByteArray) {
    private val keySpec = SecretKeySpec(key, ALGORITHM)

    /** HMAC-SHA-256 of [secret] in lower-case hexadecimal. */
    public fun hash(secret: String): String =
        HexFormat.of().formatHex(mac().doFinal(secret.encodeToByteArray()))

    /** HMAC of a request's [method], [target] and [body], which identifies resent requests. */
    public fun digest(method: String, target: String, body: ByteArray): RequestDigest {
        val mac = mac()
        mac.update("$method $target\n".encodeToByteArray())
        return RequestDigest(HexFormat.of().formatHex(mac.doFinal(body)))
    }

    private fun mac(): Mac = Mac.getInstance(ALGORITHM).apply { init(keySpec) }

    /** Parses `Bearer <credential id>.<secret>`; null if [authorization] has another form. */
    public fun parseBearer(authorization: String?): PresentedCredential? {
        val token = authorization?.bearerToken() ?: return null
        val separator = token.indexOf('.')
        if (separator <= 0) return null
        return PresentedCredential(
            id = CredentialId(token.take(separator)),
            keyedHash = hash(token.drop(separator + 1))
        )
    }
}
