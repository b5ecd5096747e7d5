package org.wisteriahinge.bench.soak

import java.io.File
import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.bench.standin.TargetBehaviour

/** Command that runs a soak with one seed. */
internal const val SOAK = "soak"

/** Command that runs the [soakRegressions]. */
internal const val SOAK_REGRESSIONS = "soak-regressions"

private const val TARGETS = 6
private const val POLL_MILLIS = 20L
private val START_LIMIT: Duration = Duration.ofSeconds(60)
private val ENTRY_PERIOD: Duration = Duration.ofMillis(1_500)

/** After the last fault: time to recover, and then a period in which requests must be served. */
private val SETTLING: Duration = Duration.ofSeconds(4)
private val CALM: Duration = Duration.ofSeconds(2)
private const val CALM_SERVED_SHARE = 0.95

private val STOP_TIMEOUT: Duration = Duration.ofSeconds(1)

/** Result of a soak. */
internal data class SoakReport(
    val seed: Long,
    val requests: Int,
    val arrivals: Int,
    val faults: Int,
    val violations: PersistentList<SoakViolation>
) {
    override fun toString(): String = violations.fold(
        "soak seed $seed: $faults faults, $requests requests, $arrivals arrivals at targets, " +
            "${violations.size} promises broken"
    ) { text, found ->
        "$text\n  at ${found.at.toMillis()} ms, ${found.promise}: ${found.detail}"
    }
}

/**
 * Runs instances as processes with callers and targets, injects the faults of [plan], and checks
 * what callers and targets observed against the guarantees in [violations].
 */
internal class Soak(
    private val seed: Long,
    private val size: SoakSize,
    private val logs: File,
    private val plan: PersistentList<PlannedFault> = soakPlan(seed, size)
) {
    private val cutsInstanceLinks = plan.any { it.fault is SoakFault.InstanceLinks }

    fun run(): SoakReport =
        SoakDeployment(size, logs, relays = !cutsInstanceLinks).use { deployment ->
            val recorder = SoakRecorder()
            deployment.targets.forEach { it.behave(TargetBehaviour(NORMAL_SERVICE_TIME)) }
            awaitReady(deployment)
            recorder.start()
            val traffic = SoakTraffic(deployment, recorder, seed).also { it.start() }
            val calmFrom = play(plan, deployment, recorder, traffic)
            traffic.stop()
            Thread.sleep(STOP_TIMEOUT.toMillis())
            recorder.stop(STOP_TIMEOUT)
            report(deployment, recorder, plan.size, calmFrom)
        }

    private fun awaitReady(deployment: SoakDeployment) {
        val until = System.nanoTime() + START_LIMIT.toNanos()
        while (!deployment.instances.all { it.isReady() }) {
            check(System.nanoTime() < until) {
                "instances not ready within ${START_LIMIT.toSeconds()} s; logs in $logs; " +
                    deployment.instances.joinToString("\n") { it.describe() }
            }
            Thread.sleep(POLL_MILLIS)
        }
    }

    /** Injects the faults of [plan] and returns the start of the undisturbed period after them. */
    private fun play(
        plan: PersistentList<PlannedFault>,
        deployment: SoakDeployment,
        recorder: SoakRecorder,
        traffic: SoakTraffic
    ): Duration {
        val faults = SoakFaults(deployment, recorder, traffic)
        val threads = plan.map { planned ->
            runUntil(planned.at, deployment, recorder, faults)
            faults.begin(planned.fault)
        }
        while (threads.any { it.isAlive }) runUntil(recorder.now(), deployment, recorder, faults)
        val calmFrom = recorder.now() + SETTLING
        runUntil(calmFrom + CALM, deployment, recorder, faults)
        return calmFrom
    }

    /** Renews the targets' entries and restarts processes that exited, until [until]. */
    private fun runUntil(
        until: Duration,
        deployment: SoakDeployment,
        recorder: SoakRecorder,
        faults: SoakFaults
    ) {
        do {
            faults.restartExited()
            if (recorder.now() > entriesPublishedAt + ENTRY_PERIOD) {
                deployment.publishEntries()
                entriesPublishedAt = recorder.now()
            }
            Thread.sleep(POLL_MILLIS)
        } while (recorder.now() < until)
    }

    private var entriesPublishedAt: Duration = Duration.ZERO

    private fun report(
        deployment: SoakDeployment,
        recorder: SoakRecorder,
        faults: Int,
        calmFrom: Duration
    ): SoakReport {
        val arrivals = deployment.targets.flatMapIndexed { index, target ->
            target.runs.map { SoakArrival(it.id, index, recorder.at(it.nanos)) }
        }.toPersistentList()
        val history = recorder.seen.copy(arrivals = arrivals)
        val found = violations(history, size.instances).addAll(unserved(history, calmFrom))
        return SoakReport(seed, history.requests.size, arrivals.size, faults, found)
    }

    private fun unserved(history: SoakHistory, calmFrom: Duration): List<SoakViolation> {
        val calm = history.requests.filter {
            it.sentAt > calmFrom && (it.work == SoakWork.Read || it.work == SoakWork.Write)
        }
        val served = calm.count { (it.result as? SoakResult.Answered)?.status == 200 }
        if (served >= calm.size * CALM_SERVED_SHARE && calm.isNotEmpty()) return emptyList()
        val detail = "$served of ${calm.size} requests served"
        return listOf(SoakViolation("service comes back after faults", calmFrom, detail))
    }
}

/** Runs the [soakRegressions] and returns whether none found a violation. */
internal fun soakRegressionsCommand(): Boolean = soakRegressions
    .map { runSoak(seed = 0, it.size, it.plan) }
    .all { it }

/** Runs a soak of [seconds], prints its report, and returns whether it found no violation. */
internal fun soakCommand(seed: Long, seconds: Int, instances: Int): Boolean {
    val size = SoakSize(instances, TARGETS, Duration.ofSeconds(seconds.toLong()))
    return runSoak(seed, size, soakPlan(seed, size))
}

private fun runSoak(seed: Long, size: SoakSize, plan: PersistentList<PlannedFault>): Boolean {
    val logs = File(System.getProperty("java.io.tmpdir"), "wisteriahinge-soak-$seed")
    logs.deleteRecursively()
    logs.mkdirs()
    val report = Soak(seed, size, logs, plan).run()
    println(report)
    if (report.violations.isEmpty()) return true
    val sizes = "--seconds ${size.length.toSeconds()} --instances ${size.instances}"
    println("replay: bin/soak --seed $seed $sizes; logs: $logs")
    return false
}
