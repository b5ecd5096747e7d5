package org.wisteriahinge.bench.policy

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.model.LoadReport

/** An attempt at a target; [workMicros] is what remains at normal speed as of [asOfMicros]. */
internal data class SimAttempt(
    val request: SimRequest,
    val key: AttemptKey,
    val workMicros: Double,
    val asOfMicros: Long = 0
)

/** Load as the target last measured it. */
internal data class SimReport(val inFlight: Int, val atMicros: Long)

/** A target with slots and a queue. Every change of [running] or [speed] raises [version]. */
internal data class SimTarget(
    val index: Int,
    val slots: Int,
    val queueLimit: Int,
    val reportMicros: Long,
    val running: PersistentList<SimAttempt> = persistentListOf(),
    val queue: PersistentList<SimAttempt> = persistentListOf(),
    val speed: Double = 1.0,
    val version: Long = 0,
    val failFast: Boolean = false,
    val misreporting: Boolean = false,
    val crashed: Boolean = false,
    val draining: Announcement? = null,
    val drainingSinceMicros: Long = 0,
    val limitPerSecond: Double? = null,
    val report: SimReport = SimReport(0, 0)
) {
    val inFlight: Int get() = running.size + queue.size

    /** The load that the target states at [now]; it is as old as the last measurement. */
    fun reportAt(now: Instant): LoadReport =
        LoadReport(if (misreporting) 0 else report.inFlight, slots, now)

    /** The target after its process ended. */
    fun emptied(): SimTarget = copy(
        running = persistentListOf(),
        queue = persistentListOf(),
        version = version + 1,
        crashed = true
    )

    /** Whether the load endpoint says that the target drains. */
    fun saysDraining(): Boolean = when (draining) {
        Announcement.Reported -> true
        Announcement.Refusing, Announcement.Unlisted, null -> false
    }

    /** Whether a request would be shed now. */
    val full: Boolean get() = queue.size >= queueLimit

    /** Brings the remaining work of running requests up to [now]. */
    fun advanced(now: Long): SimTarget {
        val refreshed = if (now - report.atMicros >= reportMicros) {
            SimReport(inFlight, now)
        } else {
            report
        }
        val progressed = running.map {
            it.copy(workMicros = it.workMicros - (now - it.asOfMicros) * speed, asOfMicros = now)
        }
        return copy(running = progressed.toPersistentList(), report = refreshed)
    }

    /** Accepts [attempt] onto a slot or into the queue. */
    fun accept(attempt: SimAttempt, now: Long): SimTarget =
        advanced(now).let { it.copy(queue = it.queue.add(attempt)) }.filled(now)

    /** Ends [attempt], whether it runs or waits. */
    fun remove(key: AttemptKey, now: Long): SimTarget = advanced(now).let { at ->
        at.copy(running = at.running.without(key), queue = at.queue.without(key))
    }.filled(now)

    fun atSpeed(factor: Double, now: Long): SimTarget =
        advanced(now).copy(speed = factor).filled(now)

    private fun filled(now: Long): SimTarget {
        val starting = queue.take(slots - running.size).map { it.copy(asOfMicros = now) }
        return copy(
            running = running.addAll(starting),
            queue = queue.drop(starting.size).toPersistentList(),
            version = version + 1
        )
    }

    /** The running attempt that ends next; null when idle. */
    fun nextToEnd(): SimAttempt? = running.minByOrNull { it.workMicros }

    /** Time until [attempt], which runs, ends at the present speed. */
    fun microsLeft(attempt: SimAttempt): Long =
        (attempt.workMicros / speed).toLong().coerceAtLeast(0)
}

private fun PersistentList<SimAttempt>.without(key: AttemptKey): PersistentList<SimAttempt> =
    filterNot { it.key == key }.toPersistentList()

internal fun Scenario.initialTargets(): PersistentList<SimTarget> = List(targets) {
    SimTarget(it, slots, queueLimit, reportMillis * MICROS_PER_MILLI)
}.toPersistentList()
