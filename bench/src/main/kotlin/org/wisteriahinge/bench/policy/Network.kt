package org.wisteriahinge.bench.policy

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentSet
import org.wisteriahinge.core.model.InstanceId

/** Peers that hear a heartbeat within the control budget of the membership. */
private const val HEARTBEAT_FANOUT = 14

/** One-way delay within a zone. */
private const val LOCAL_MICROS = 250L

/** One-way delay between the nearest two zones. */
private const val NEAR_MICROS = 1_000L

/** One-way delay between the farthest two zones. */
private const val FAR_MICROS = 1_500L

private const val STEPS = 4

/** One-way delay from zone [from] to zone [to]; fixed for each pair of zones. */
internal fun networkMicros(from: Int, to: Int): Long = when {
    from == to -> LOCAL_MICROS
    else -> {
        val step = (from + to) % (STEPS + 1)
        NEAR_MICROS + (FAR_MICROS - NEAR_MICROS) * step / STEPS
    }
}

internal fun instanceId(index: Int): InstanceId = InstanceId("instance-$index")

internal fun Scenario.instanceIds(): PersistentSet<InstanceId> =
    (0 until instances).map { instanceId(it) }.toPersistentSet()

/** The peers that hear the heartbeat of [instance] at [nowMicros]; they change in turn. */
internal fun Scenario.heartbeatPeers(instance: Int, nowMicros: Long): List<Int> {
    val round = (nowMicros / (heartbeatMillis * MICROS_PER_MILLI)).toInt()
    val fanout = minOf(HEARTBEAT_FANOUT, instances - 1)
    val first = round * fanout % maxOf(1, instances - 1)
    return List(fanout) { (instance + 1 + (first + it) % (instances - 1)) % instances }
}
