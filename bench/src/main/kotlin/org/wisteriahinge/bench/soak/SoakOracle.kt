package org.wisteriahinge.bench.soak

import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentList

/** How long an instance is given to hear of a drain or a configuration; the platform's bound. */
private val HEARD: Duration = Duration.ofMillis(2_500)

/** Time after a disturbance for which the bounds on what an instance knows do not hold. */
private val SETTLED: Duration = Duration.ofSeconds(4)

/** Requests in progress when a newer configuration takes effect may still see the older one. */
private val BACK: Duration = Duration.ofMillis(250)

private val BUDGET_WINDOW: Duration = Duration.ofSeconds(10)
private const val BUDGET_RATIO = 0.2

/** Statuses that promise that the request has not run and never will. */
private val notRunStatuses = setOf(408, 421, 429, 503)

/** Every promise that [history] shows broken by [instances] instances. */
internal fun violations(history: SoakHistory, instances: Int): PersistentList<SoakViolation> =
    SoakOracle(history, instances).all()

private class SoakOracle(private val history: SoakHistory, private val instances: Int) {
    private val arrivals = history.arrivals.groupBy { it.id }

    fun all(): PersistentList<SoakViolation> = listOf(
        ranTwice(),
        untrueRefusals(),
        mixedAnswers(),
        denied(),
        drained(),
        wentBack(),
        lateConfigurations(),
        overBudget(),
        cutByStops(),
        badStops()
    ).flatten().sortedBy { it.at }.toPersistentList()

    private fun writes() = history.requests.filter { it.work == SoakWork.Write }

    private fun ranTwice() = writes().mapNotNull { request ->
        val runs = arrivals[request.id].orEmpty()
        if (runs.size < 2) return@mapNotNull null
        SoakViolation("runs once at most", request.sentAt, "${request.id} ran at $runs")
    }

    private fun untrueRefusals() = writes().mapNotNull { request ->
        val status = (request.result as? SoakResult.Answered)?.status
        if (status !in notRunStatuses || request.id !in arrivals) return@mapNotNull null
        SoakViolation("refusals are true", request.sentAt, "${request.id} got $status and ran")
    }

    private fun mixedAnswers() = history.requests.mapNotNull { request ->
        val answer = request.result as? SoakResult.Answered ?: return@mapNotNull null
        if (answer.isOwn || answer.status >= 300) return@mapNotNull null
        SoakViolation("answers are whole and own", request.sentAt, "$request")
    }

    private fun denied() = history.requests.mapNotNull { request ->
        val status = (request.result as? SoakResult.Answered)?.status ?: return@mapNotNull null
        val isDenial = status in 300..499 && status !in notRunStatuses
        if (!isDenial || request.work is SoakWork.Look) return@mapNotNull null
        SoakViolation("proper requests are not denied", request.sentAt, "$request")
    }

    private fun drained(): List<SoakViolation> = acts<SoakFault.Drain>().flatMap { (act, drain) ->
        val heardAt = act.from + HEARD
        history.arrivals.filter {
            it.target == drain.target && it.at > heardAt && it.at < act.until &&
                calm(act.from, it.at) && sentAfter(it.id, heardAt)
        }.map { SoakViolation("drained targets get nothing", it.at, "$it, drained ${act.from}") }
    }

    private fun sentAfter(id: String, moment: Duration): Boolean =
        history.requests.any { it.id == id && it.sentAt > moment }

    private fun looks() = history.requests.mapNotNull { request ->
        (request.work as? SoakWork.Look)?.let { it.version to request }
    }

    private fun SoakRequest.status(): Int? = (result as? SoakResult.Answered)?.status

    private fun wentBack(): List<SoakViolation> {
        val seen = looks().filter { it.second.status() == 200 }.groupBy { it.second.instance }
        return seen.values.flatMap { ofInstance ->
            ofInstance.flatMap { (older, later) ->
                ofInstance.filter { (newer, before) ->
                    newer > older && before.endedAt + BACK < later.sentAt &&
                        !startedBetween(later.instance, before.sentAt, later.endedAt)
                }.take(1).map { (newer, before) ->
                    val detail = "version $newer seen by ${before.endedAt}, then $older: $later"
                    SoakViolation("configurations never go back", later.sentAt, detail)
                }
            }
        }
    }

    private fun lateConfigurations(): List<SoakViolation> {
        val published = history.acts.filterIsInstance<SoakAct.Configured>()
            .fold(persistentHashMapOf<Int, Duration>()) { all, act ->
                all.put(act.version, act.from)
            }
        return looks().mapNotNull { (version, look) ->
            val at = published[version] ?: return@mapNotNull null
            val replacedAt = published[version + 1]
            val isDue = look.sentAt > at + HEARD && look.status() == 404 &&
                (replacedAt == null || look.endedAt < replacedAt)
            if (!isDue || !calm(at, look.endedAt)) return@mapNotNull null
            SoakViolation("configurations take effect in time", look.sentAt, "$look, sent $at")
        }
    }

    private fun overBudget(): List<SoakViolation> {
        val repeats = arrivals.values.flatMap { runs -> runs.sortedBy { it.at }.drop(1) }
            .map { it.at }.sorted()
        val starts = history.acts.count { it.startedInstance() != null }
        return repeats.mapNotNull { from ->
            val inside = repeats.count { it >= from && it < from + BUDGET_WINDOW }
            val allowed = BUDGET_RATIO * mostRequests(from) + instances + starts
            if (inside <= allowed) return@mapNotNull null
            SoakViolation("repeats stay in the budget", from, "$inside repeats, $allowed allowed")
        }.take(1)
    }

    /** The requests of the window from [from] on or of one before it, whichever has most. */
    private fun mostRequests(from: Duration): Int = listOf(0L, 2L, 1L).maxOf { halves ->
        val start = from - BUDGET_WINDOW.dividedBy(2).multipliedBy(halves)
        history.requests.count { it.sentAt >= start && it.sentAt < start + BUDGET_WINDOW }
    }

    private fun cutByStops(): List<SoakViolation> = stops().flatMap { stop ->
        history.requests.filter {
            it.instance == stop.instance && it.result == SoakResult.Broken &&
                it.endedAt > stop.from && it.sentAt < stop.until && it.id in arrivals &&
                onlyPlanned(it.sentAt, it.endedAt)
        }.map { SoakViolation("stops cut nothing off", it.sentAt, "$it, $stop") }
    }

    private fun badStops(): List<SoakViolation> {
        val slow = stops().filter { it.stopped.exitCode != 0 && onlyPlanned(it.from, it.until) }
            .map { SoakViolation("stops end in time and well", it.from, "$it") }
        val own = history.acts.filterIsInstance<SoakAct.EndedByItself>()
            .map { SoakViolation("processes do not end by themselves", it.from, "$it") }
        return slow + own
    }

    private fun stops() = history.acts.filterIsInstance<SoakAct.StoppedInstance>()

    private inline fun <reified F : SoakFault> acts(): List<Pair<SoakAct.Disturbed, F>> =
        history.acts.filterIsInstance<SoakAct.Disturbed>()
            .mapNotNull { act -> (act.fault as? F)?.let { act to it } }

    private fun startedBetween(instance: Int, from: Duration, until: Duration): Boolean =
        history.acts.any {
            it.startedInstance() == instance && it.until >= from && it.from <= until
        }

    /** Whether nothing but planned work happened from [from] until [until]. */
    private fun onlyPlanned(from: Duration, until: Duration): Boolean =
        history.acts.none { !it.isPlanned() && it.overlaps(from - SETTLED, until) }

    /** Whether nothing happened that may keep an instance from what the store has. */
    private fun calm(from: Duration, until: Duration): Boolean =
        history.acts.none { it.delaysNews() && it.overlaps(from - SETTLED, until) }

    private fun SoakAct.overlaps(start: Duration, end: Duration): Boolean =
        from <= end && until >= start
}

/** The instance that this act started anew; null when it started none. */
private fun SoakAct.startedInstance(): Int? = when (this) {
    is SoakAct.StoppedInstance -> instance
    is SoakAct.EndedByItself -> instance
    is SoakAct.Configured -> null
    is SoakAct.Disturbed -> (fault as? SoakFault.Kill)?.instance
}

/** Whether instances may have heard late of what the store has; relays pass its records on. */
private fun SoakAct.delaysNews(): Boolean = when (this) {
    is SoakAct.StoppedInstance, is SoakAct.EndedByItself -> true
    is SoakAct.Configured -> false
    is SoakAct.Disturbed -> when (fault) {
        is SoakFault.Restart, is SoakFault.Kill, is SoakFault.Pause, is SoakFault.StoreLink,
        is SoakFault.StoreDown -> true
        is SoakFault.HangUp, is SoakFault.TargetLink, SoakFault.StoreForgets,
        is SoakFault.SlowTarget, is SoakFault.Drain, SoakFault.NewConfiguration -> false
    }
}

private fun SoakAct.isPlanned(): Boolean = when (this) {
    is SoakAct.StoppedInstance, is SoakAct.Configured -> true
    is SoakAct.EndedByItself -> false
    is SoakAct.Disturbed -> when (fault) {
        is SoakFault.Restart, is SoakFault.HangUp, is SoakFault.Drain,
        SoakFault.NewConfiguration -> true
        is SoakFault.Kill, is SoakFault.Pause, is SoakFault.TargetLink, is SoakFault.StoreLink,
        is SoakFault.StoreDown, SoakFault.StoreForgets, is SoakFault.SlowTarget -> false
    }
}
