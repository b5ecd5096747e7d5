package org.wisteriahinge.core.scarcity

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.call.CallRequest

/** Most refused requests that are remembered for one service. */
private const val MAX_REFUSALS = 512

/** A caller's clock and timers may end a wait this much early. */
private val TIMER_TOLERANCE: Duration = Duration.ofMillis(5)

/** A request of a caller, recognized when it is sent again. */
public data class RequestMark(val callerAddress: String, val content: Long)

/** The mark of this request; null if it would not be recognized when it is sent again. */
internal fun CallRequest.mark(): RequestMark? {
    val address = callerAddress ?: return null
    return content?.fingerprint()?.let { RequestMark(address, it) }
}

/** Until when callers were asked to wait with requests that were refused for lack of room. */
public data class RecentRefusals(
    val waitUntil: PersistentMap<RequestMark, Instant> = persistentHashMapOf()
) {
    /** Whether [request] was refused and is back before its caller was asked to send it again. */
    internal fun isEarly(request: CallRequest, now: Instant): Boolean {
        if (waitUntil.isEmpty()) return false
        val until = request.mark()?.let { waitUntil[it] } ?: return false
        return now + TIMER_TOLERANCE < until
    }

    internal fun refused(request: CallRequest, until: Instant, now: Instant): RecentRefusals {
        val mark = request.mark() ?: return this
        val open = if (waitUntil.size < MAX_REFUSALS) waitUntil else pending(now)
        return if (open.size < MAX_REFUSALS) RecentRefusals(open.put(mark, until)) else this
    }

    private fun pending(now: Instant) = waitUntil.builder().apply {
        waitUntil.forEach { (mark, until) -> if (until <= now) remove(mark) }
    }.build()
}
