package org.wisteriahinge.bench.policy

import kotlin.random.Random
import kotlinx.collections.immutable.PersistentList

private const val RESEND_SEED = 0x2E5E4DL
private const val MAX_RESENDS = 8

/** Least and greatest time after which a caller sends a request again. */
private const val MIN_WAIT_MICROS = 50_000L
private const val MAX_WAIT_MICROS = 3_000_000L

/** Callers that send a request that crashes servers again, to any instance. */
internal class Resends(seed: Long, private val instances: Int) {
    private val random = Random(seed xor RESEND_SEED)

    /** The next copy of [request], which ended at [nowMicros]; null when its caller gives up. */
    fun after(request: SimRequest, sent: PersistentList<SimRequest>, nowMicros: Long): SimRequest? {
        if (!request.kind.crashes) return null
        if (sent.count { it.origin == request.origin } > MAX_RESENDS) return null
        return request.copy(
            id = sent.size + 1L,
            atMicros = nowMicros + random.nextLong(MIN_WAIT_MICROS, MAX_WAIT_MICROS),
            instance = random.nextInt(instances)
        )
    }
}
