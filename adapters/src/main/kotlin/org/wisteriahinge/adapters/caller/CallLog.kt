package org.wisteriahinge.adapters.caller

import io.github.oshai.kotlinlogging.KotlinLogging

private val logger = KotlinLogging.logger("org.wisteriahinge.calls")

/** Logs each ended call at debug level, then passes it to [next]. */
public class CallLog(private val next: CallObserver) : CallObserver {
    override fun ended(call: EndedCall) {
        // The query is omitted, as it may contain personal data; a CallRequest holds no secrets.
        logger.atDebug {
            message = "call ended"
            payload = mapOf(
                "call_id" to call.request.callId.value,
                "credential" to call.request.credential?.id?.value,
                "method" to call.request.method,
                "path" to call.request.path.substringBefore('?'),
                "outcome" to call.outcome,
                "elapsed_us" to call.elapsed.toNanos() / NANOS_PER_MICRO,
                "added_us" to call.added?.let { it.toNanos() / NANOS_PER_MICRO }
            )
        }
        next.ended(call)
    }
}

private const val NANOS_PER_MICRO = 1_000L
