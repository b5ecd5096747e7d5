package org.wisteriahinge.bench.policy

import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.handover.HandoverPolicy
import org.wisteriahinge.core.handover.HandoverState
import org.wisteriahinge.core.handover.PeerInstance
import org.wisteriahinge.core.model.Address

private const val HANDOVER_PORT = 7_540

/** How links to targets that are cut off behave. */
internal sealed class CutLink(val name: String) {
    /** Nothing passes, so that connections hang. */
    data object Silent : CutLink("silent")

    /** Connections are reset and new ones refused. */
    data object Refusing : CutLink("refusing")
}

/** What an instance does with calls that it cannot send to any target. */
internal sealed class StrandedCalls(val name: String) {
    /** It refuses them. */
    data object Refused : StrandedCalls("refused")

    /** It hands them over to other instances. */
    data object HandedOver : StrandedCalls("handed_over")
}

/** The [share] of all instances that reaches no target from [fromMillis] to [untilMillis]. */
internal data class Stranding(
    val share: Double,
    val link: CutLink,
    val calls: StrandedCalls,
    val fromMillis: Long,
    val untilMillis: Long
) {
    val fromMicros: Long get() = fromMillis * MICROS_PER_MILLI
    val untilMicros: Long get() = untilMillis * MICROS_PER_MILLI
}

/** Whether [instance] is among those that are cut off at some time. */
internal fun Scenario.isEverStranded(instance: Int): Boolean =
    stranding?.let { instance < it.share * instances } == true

/** The behaviour of the links of [instance] at [nowMicros]; null while they work. */
internal fun Scenario.cutLink(instance: Int, nowMicros: Long): CutLink? = stranding
    ?.takeIf { isEverStranded(instance) && nowMicros in it.fromMicros..<it.untilMicros }
    ?.link

/** What instance number [index] knows of the others at the start. */
internal fun Scenario.initialHandover(index: Int): HandoverState = when (stranding?.calls) {
    null, StrandedCalls.Refused -> HandoverState()
    StrandedCalls.HandedOver -> HandoverState(
        HandoverPolicy.ToInstances(instanceId(index)),
        (0 until instances).filter { it != index }.map(::peerInstance)
            .fold(persistentHashMapOf()) { all, peer -> all.put(peer.id, peer) }
    )
}

private fun Scenario.peerInstance(index: Int) = PeerInstance(
    instanceId(index),
    zoneOf(index, zones),
    Address("10.1.0.$index", HANDOVER_PORT),
    token = "token-$index"
)
