package org.wisteriahinge.bench.fuzz

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.IdempotencyKey
import org.wisteriahinge.core.model.Refusal

/** A request as its caller sees it; a resend is equal to it. */
internal data class CallerRequest(
    val key: IdempotencyKey,
    val customer: CustomerId,
    val content: String
) {
    /** The whole answer that belongs to this request. */
    val answer: String get() = "answer to $content of $customer with $key"
}

/** What a caller was told about one copy of its request. */
internal sealed interface Told {
    data class Answer(val body: String) : Told
    data class Refused(val refusal: Refusal) : Told
}

/** Watches runs and answers, and notes what contradicts the guarantees. */
internal data class Oracle(
    val requests: PersistentMap<CopyRef, CallerRequest> = persistentHashMapOf(),
    val told: PersistentMap<CopyRef, Told> = persistentHashMapOf(),
    val runs: PersistentMap<IdempotencyKey, Int> = persistentHashMapOf(),
    val ranCopies: PersistentSet<CopyRef> = persistentHashSetOf(),
    val violations: PersistentList<String> = persistentListOf()
) {
    fun sent(copy: CopyRef, request: CallerRequest): Oracle =
        copy(requests = requests.put(copy, request))

    /** A target starts to run [copy]. */
    fun ran(copy: CopyRef): Oracle {
        val key = requests.getValue(copy).key
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

    fun check(name: String, holds: Boolean, detail: () -> String): Oracle =
        if (holds) this else copy(violations = violations.add("$name: ${detail()}"))

    private fun Told?.saysNotRun(): Boolean = when (this) {
        null, is Told.Answer -> false
        is Told.Refused -> refusal.execution == Execution.NotRun
    }
}
