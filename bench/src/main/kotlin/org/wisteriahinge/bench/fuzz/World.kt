package org.wisteriahinge.bench.fuzz

import java.time.Duration
import java.time.Instant
import kotlin.random.Random
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.limits.LimitsState
import org.wisteriahinge.core.limits.ShareBatch
import org.wisteriahinge.core.model.AttemptId
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.once.ClaimBatch
import org.wisteriahinge.core.once.OnceSettings
import org.wisteriahinge.core.once.OnceState

/** One instance: its decision states, its clock's error and what waits while it is paused. */
internal data class Node(
    val id: InstanceId,
    val calls: CallsState,
    val once: OnceState,
    val limits: LimitsState,
    val clockOffset: Duration,
    val paused: Boolean = false,
    val backlog: PersistentList<Delivery.ForNode> = persistentListOf(),
    val claimsOffset: Long = 0,
    val sharesOffset: Long = 0,
    val outstanding: PersistentMap<AttemptId, CallId> = persistentHashMapOf()
)

/** How a fake target treats a request that arrives. */
internal sealed interface TargetMode {
    data object Serving : TargetMode
    data object Draining : TargetMode
    data object Shedding : TargetMode
    data object Down : TargetMode

    /** Serves, and answers after many seconds. */
    data object Late : TargetMode
}

internal data class FakeTarget(
    val mode: TargetMode = TargetMode.Serving,
    val running: PersistentSet<AttemptRef> = persistentHashSetOf()
)

/** Instances, log, targets, network and callers under one virtual clock; [time] is true time. */
internal data class World(
    val seed: Long,
    val time: Instant,
    val settings: OnceSettings,
    val profile: WorldProfile,
    val oracle: Oracle,
    val nodes: PersistentMap<InstanceId, Node> = persistentHashMapOf(),
    val claims: FakeStream<ClaimBatch> = FakeStream(),
    val shares: FakeStream<ShareBatch> = FakeStream(),
    val logMode: LogMode = LogMode.Up,
    val targets: PersistentMap<TargetId, FakeTarget> = persistentHashMapOf(),
    val agenda: Agenda = Agenda(),
    val requests: PersistentList<CallerRequest> = persistentListOf(),
    val answers: PersistentMap<CopyRef, String> = persistentHashMapOf(),
    val messagesFail: Boolean = false,
    val clockGain: Duration = Duration.ZERO,
    val lastNode: Int = 0,
    val lastCall: Long = 0,
    val draws: Long = 0
) {
    /** A generator for one decision of the surroundings; [drawn] moves on to the next. */
    fun random(): Random = Random(seed * 1_000_003 + draws)

    fun drawn(): World = copy(draws = draws + 1)

    fun schedule(delay: Duration, delivery: Delivery): World =
        copy(agenda = agenda.add(time.plus(delay), delivery))

    fun update(node: Node): World = copy(nodes = nodes.put(node.id, node))

    fun clockOf(node: Node): Instant = time.plus(node.clockOffset)
}

internal fun millis(count: Int): Duration = Duration.ofMillis(count.toLong())
