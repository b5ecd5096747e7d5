package org.wisteriahinge.bench.fuzz

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.model.Allowance
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.IdempotencyKey
import org.wisteriahinge.core.model.Refusal

/** Windows that begin this many admissions ago or later are checked. */
private const val WINDOW_ADMISSIONS = 400
private const val NANOS_PER_SECOND = 1e9

/** A request as its caller sees it; a resend is equal to it. */
internal data class CallerRequest(
    val key: IdempotencyKey,
    val customer: CustomerId,
    val content: String,
    val isRepeatable: Boolean = false
) {
    /** The whole answer that belongs to this request. */
    val answer: String get() = "answer to $content of $customer with $key"
}

/** What a caller was told about one copy of its request. */
internal sealed interface Told {
    data class Answer(val body: String) : Told
    data class Refused(val refusal: Refusal) : Told
}

/** A call that an instance admitted at [at]. */
internal data class Admission(val at: Instant, val bytes: Long)

/** Watches runs and answers, and notes what contradicts the guarantees. */
internal data class Oracle(
    val allowance: Allowance,
    val waits: PersistentMap<CopyRef, Duration> = persistentHashMapOf(),
    val sentAt: PersistentMap<CopyRef, Instant> = persistentHashMapOf(),
    val requests: PersistentMap<CopyRef, CallerRequest> = persistentHashMapOf(),
    val told: PersistentMap<CopyRef, Told> = persistentHashMapOf(),
    val runs: PersistentMap<IdempotencyKey, Int> = persistentHashMapOf(),
    val ranCopies: PersistentSet<CopyRef> = persistentHashSetOf(),
    val admissions: PersistentMap<CustomerId, PersistentList<Admission>> =
        persistentHashMapOf(),
    val violations: PersistentList<String> = persistentListOf()
) {
    fun sent(copy: CopyRef, request: CallerRequest, at: Instant): Oracle =
        copy(requests = requests.put(copy, request), sentAt = sentAt.put(copy, at))

    /** The first attempt of [copy] leaves its instance. */
    fun forwarded(copy: CopyRef, at: Instant): Oracle = if (copy in waits) {
        this
    } else {
        copy(waits = waits.put(copy, Duration.between(sentAt.getValue(copy), at)))
    }

    /** A target starts to run [copy]. */
    fun ran(copy: CopyRef): Oracle {
        val request = requests.getValue(copy)
        if (request.isRepeatable) return this
        val key = request.key
        val count = (runs[key] ?: 0) + 1
        return copy(runs = runs.put(key, count), ranCopies = ranCopies.add(copy))
            .check("runs per key at most one", count <= 1) { "$key ran $count times" }
            .check("told not run, did not run", !told[copy].saysNotRun()) { "$copy ran later" }
    }

    fun told(copy: CopyRef, what: Told): Oracle {
        val request = requests.getValue(copy)
        val next = copy(told = told.put(copy, what))
        return when (what) {
            is Told.Answer -> next.check("own whole answer", what.body == request.answer) {
                "$copy expected '${request.answer}' and got '${what.body}'"
            }
            is Told.Refused -> next.check(
                "told not run, did not run",
                !what.saysNotRun() || copy !in ranCopies
            ) { "$copy was told ${what.refusal} after it ran" }
        }
    }

    /**
     * Every window that ends now admits at most the burst and the rate for its length.
     *
     * An instance whose clock is set forward fills its buckets for the time that was skipped, so
     * [clockGain], the sum of such steps, counts as time.
     */
    fun admitted(customer: CustomerId, admission: Admission, clockGain: Duration): Oracle {
        val all = (admissions[customer] ?: persistentListOf()).add(admission)
        val recent = all.takeLast(WINDOW_ADMISSIONS)
        val bytes = recent.asReversed().runningFold(0L) { sum, one -> sum + one.bytes }.drop(1)
        val worst = recent.asReversed().withIndex().firstOrNull { (index, first) ->
            val span = Duration.between(first.at, admission.at).plus(clockGain)
            val seconds = span.toNanos() / NANOS_PER_SECOND
            index + 1 > allowance.burstCalls + allowance.callsPerSecond * seconds + 1e-6 ||
                bytes[index] > allowance.burstBytes + allowance.bytesPerSecond * seconds
        }
        return copy(admissions = admissions.put(customer, all))
            .check("admitted at most the plan", worst == null) {
                "$customer: ${worst!!.index + 1} calls from ${worst.value.at} to ${admission.at}"
            }
    }

    fun check(name: String, holds: Boolean, detail: () -> String): Oracle =
        if (holds) this else copy(violations = violations.add("$name: ${detail()}"))

    private fun Told?.saysNotRun(): Boolean = when (this) {
        null, is Told.Answer -> false
        is Told.Refused -> refusal.execution == Execution.NotRun
    }
}
