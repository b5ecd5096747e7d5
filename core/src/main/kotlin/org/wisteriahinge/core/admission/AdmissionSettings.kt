package org.wisteriahinge.core.admission

import java.time.Duration

/**
 * Bounds of admission.
 *
 * [maxWait] and [maxQueued] bound the queue of short work of a service; a longer queue only adds
 * latency, because a queue that is never empty already keeps every slot busy. [maxLongQueued]
 * bounds the queue of long work. [maxLongCalls] is how many of the instance's call places long
 * work may hold, queued or running; the rest stay free for short work.
 */
public data class AdmissionSettings(
    val maxWait: Duration = Duration.ofMillis(250),
    val maxQueued: Int = 256,
    val maxLongQueued: Int = 64,
    val maxLongCalls: Int = 512
)
