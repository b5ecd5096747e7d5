package org.wisteriahinge.bench.demo

import com.github.f4b6a3.uuid.UuidCreator
import java.io.Closeable
import java.time.Duration
import java.util.concurrent.CompletableFuture
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.wisteriahinge.adapters.log.PublicationOutcome
import org.wisteriahinge.bench.standin.LogBehaviour
import org.wisteriahinge.bench.standin.TargetBehaviour

private const val LOOKUPS = 600
private const val SMALL_CALLS = 60
private const val CALLS_AT_STOP = 6
private val START_LIMIT: Duration = Duration.ofSeconds(20)

/** A configuration change has to be in force everywhere within this time. */
private val SPREAD_LIMIT: Duration = Duration.ofSeconds(4)

/** A draining target must not get work after this time. */
private val LEAVING_LIMIT: Duration = Duration.ofSeconds(3)
private val SLOW_SERVICE: Duration = Duration.ofMillis(800)

/** Runs the main use case once and checks each outcome. */
internal class Demo : Closeable {
    private val deployment = DemoDeployment()
    private val caller = DemoCaller()
    private val report = DemoReport()
    private val instances = deployment.instances

    /** Whether every outcome was right. */
    fun run(): Boolean {
        publishFirst()
        answerLookups()
        bookOnce()
        refuseOthers()
        keepToPlan()
        changeConfiguration()
        drainTarget()
        loseLog()
        stopInstance()
        println(if (report.allRight) "all outcomes right" else "some outcomes wrong")
        return report.allRight
    }

    private fun publishFirst() {
        val outcome = deployment.publish(replaces = 0, deployment.lookups)
        val took = awaitWithin(START_LIMIT) {
            instances.all { caller.lookup(it, UTILITY, 0).status == 200 }
        }
        report.expect(
            "first lists published and served by ${instances.size} instances in 2 zones",
            outcome is PublicationOutcome.Accepted && took != null,
            "after ${took?.toMillis()} ms"
        )
    }

    private fun answerLookups() {
        val served = deployment.lookups.map { it.target.servedCount }
        val answers = (1..LOOKUPS).map { id ->
            val customer = if (id % 2 == 0) UTILITY else ESTATE
            caller.lookup(instances[id % instances.size], customer, id)
        }
        val right = answers.count { it.status == 200 }
        val each = deployment.lookups.mapIndexed { index, placed ->
            "${placed.target.name} ${placed.target.servedCount - served[index]}"
        }
        report.expect(
            "lookups of two customers",
            right == LOOKUPS,
            "$right of $LOOKUPS answered; $each${others(answers)}"
        )
    }

    /** Answers other than 200 by reason, empty when there are none. */
    private fun others(answers: List<Answer>): String {
        val counts = answers.filter { it.status != 200 }
            .groupingBy { it.reason ?: it.status.toString() }.eachCount()
        return if (counts.isEmpty()) "" else "; $counts"
    }

    private fun bookOnce() {
        val ready = awaitWithin(START_LIMIT) {
            instances.all { caller.book(it, UTILITY, newKey()).status == 200 }
        }
        val before = bookingsRun()
        val key = newKey()
        val answers = instances.map { caller.book(it, UTILITY, key) }
        val runs = bookingsRun() - before
        report.expect(
            "one booking sent to each of ${instances.size} instances with the same key",
            ready != null && runs == 1 && answers.all { it == answers.first() },
            "ran $runs time, answers ${answers.map { it.status }}"
        )
    }

    private fun refuseOthers() {
        val to = instances.first()
        val reasons = listOf(
            caller.lookup(to, null, 1),
            caller.lookup(to, UTILITY.copy(secret = "wrong"), 1),
            caller.lookup(to, FORMER, 1),
            caller.book(to, ESTATE, newKey()),
            caller.book(to, UTILITY, key = null)
        ).map { it.reason }
        val expected = listOf(
            "missing_credential",
            "unknown_credential",
            "revoked_credential",
            "not_entitled",
            "missing_idempotency_key"
        )
        report.expect("callers without a right are refused", reasons == expected, "$reasons")
    }

    private fun keepToPlan() {
        val started = System.nanoTime()
        val answers = (1..SMALL_CALLS).map { id ->
            caller.lookup(instances[id % instances.size], SMALL, id)
        }
        val seconds = (System.nanoTime() - started) / 1_000_000_000.0
        val admitted = answers.count { it.status == 200 }
        val limit = SMALL_BURST + seconds
        val rest = answers.filter { it.status != 200 }.map { it.reason }.distinct()
        report.expect(
            "a customer that asks for more than its plan",
            admitted in 1..limit.toInt() && rest == listOf("rate_exceeded"),
            "$admitted of $SMALL_CALLS admitted, plan allows $SMALL_BURST and 1 a second; $rest"
        )
    }

    private fun changeConfiguration() {
        val kept = deployment.lookups.drop(1)
        val removed = deployment.lookups.first().target
        val outcome = deployment.publish(replaces = 1, kept)
        val took = awaitWithin(SPREAD_LIMIT) { instances.all { revisionOf(it) == 2L } }
        val before = removed.servedCount
        repeat(LOOKUPS / 10) { caller.lookup(instances[it % instances.size], UTILITY, it) }
        val late = deployment.publish(replaces = 1, deployment.lookups)
        report.expect(
            "a change that removes ${removed.name} is in force everywhere",
            outcome is PublicationOutcome.Accepted && took != null &&
                removed.servedCount == before,
            "after ${took?.toMillis()} ms; it got ${removed.servedCount - before} more requests"
        )
        report.expect(
            "a second operator who replaces the same revision is told",
            late is PublicationOutcome.Superseded,
            "${late::class.simpleName}"
        )
    }

    private fun revisionOf(instance: RunningInstance): Long =
        Json.parseToJsonElement(caller.admin(instance, "/status").body)
            .jsonObject.getValue("revision").jsonPrimitive.long

    private fun drainTarget() {
        val leaving = deployment.lookups[1].target
        leaving.behave(TargetBehaviour(draining = true))
        val answers = (1..LOOKUPS / 4).map { id ->
            caller.lookup(instances[id % instances.size], UTILITY, id)
        }
        val right = answers.count { it.status == 200 }
        Thread.sleep(LEAVING_LIMIT.toMillis())
        val refused = leaving.refusedCount
        repeat(LOOKUPS / 4) { caller.lookup(instances[it % instances.size], UTILITY, it) }
        val late = leaving.refusedCount - refused
        report.expect(
            "${leaving.name} drains",
            right == answers.size && late == 0,
            "$right of ${answers.size} answered meanwhile; " +
                "$late requests sent to it after 3 s${others(answers)}"
        )
    }

    private fun loseLog() {
        deployment.log.behave(LogBehaviour(down = true))
        val right = (1..LOOKUPS / 4).count { id ->
            caller.lookup(instances[id % instances.size], UTILITY, id).status == 200
        }
        val booking = caller.book(instances.first(), UTILITY, newKey())
        deployment.log.behave(LogBehaviour())
        report.expect(
            "the log is down",
            right == LOOKUPS / 4 && booking.reason == "claim_unavailable" &&
                "\"not_run\"" in booking.body,
            "$right of ${LOOKUPS / 4} lookups answered; booking refused as ${booking.reason}"
        )
    }

    private fun stopInstance() {
        val stopping = instances.last()
        deployment.lookups.forEach {
            it.target.behave(TargetBehaviour(serviceTime = SLOW_SERVICE))
        }
        val running = (1..CALLS_AT_STOP).map { caller.lookupLater(stopping, UTILITY, it) }
        Thread.sleep(SLOW_SERVICE.toMillis() / 4)
        val drain = CompletableFuture.runAsync { stopping.instance.drain() }
        val answers = running.map { it.join() }
        val answered = answers.count { it.status == 200 }
        drain.join()
        val after = caller.lookup(instances.first(), UTILITY, 1)
        report.expect(
            "${stopping.name} stops while it serves",
            answered == CALLS_AT_STOP && after.status == 200,
            "$answered of $CALLS_AT_STOP calls in progress answered; " +
                "${instances.first().name} goes on${others(answers)}"
        )
    }

    private fun bookingsRun(): Int = deployment.bookings.sumOf { it.target.servedCount }

    private fun newKey(): String = UuidCreator.getTimeOrderedEpoch().toString()

    override fun close() {
        deployment.close()
    }
}
