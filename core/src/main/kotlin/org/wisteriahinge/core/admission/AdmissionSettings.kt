package org.wisteriahinge.core.admission

import java.time.Duration

/**
 * Bounds of admission.
 *
 * @property maxWait the longest estimated wait in a service's queue of short calls. A longer queue
 *   only adds latency, because a queue that is never empty already keeps every slot busy
 * @property maxQueued the maximum length of a service's queue of short calls
 * @property maxLongQueued the maximum length of a service's queue of long calls
 * @property maxLongCalls the maximum number of long calls of the instance, queued or running; the
 *   rest of its call capacity stays free for short calls
 */
public data class AdmissionSettings(
    val maxWait: Duration = Duration.ofMillis(250),
    val maxQueued: Int = 256,
    val maxLongQueued: Int = 64,
    val maxLongCalls: Int = 512
)
