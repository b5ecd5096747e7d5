package org.wisteriahinge.bench.soak

import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentList

/** The platform's bound on the time in which a drain or a configuration takes effect. */
private val PROPAGATION_BOUND: Duration = Duration.ofSeconds(2)

/** Time after a fault during which the checks that it may affect are not applied. */
private val RECOVERY_TIME: Duration = Duration.ofSeconds(4)

/** Requests in flight when a configuration takes effect may still see the previous one. */
private val IN_FLIGHT_OVERLAP: Duration = Duration.ofMillis(250)

/** Time after a target named a limit from which the limit must hold in each window. */
private val LIMIT_REACTION: Duration = Duration.ofSeconds(3)
private val LIMIT_WINDOW: Duration = Duration.ofSeconds(4)
private const val LIMIT_RATIO = 1.5
private const val LIMIT_EXTRA = 5

/** Time after the third crash of a request from which its retries are bounded. */
private val CRASH_REACTION: Duration = Duration.ofSeconds(3)
private const val COUNTED_CRASHES = 3
private const val MAX_LATE_CRASHES = 3

/** Time after the links of an instance broke from which its callers must be served. */
private val LINK_CUT_REACTION: Duration = Duration.ofSeconds(3)
private const val MIN_SERVED_RATIO = 2.0 / 3
private const val ALLOWED_FAILURES = 10
private const val REQUESTS_PER_ALLOWED_FAILURE = 50

private val BUDGET_WINDOW: Duration = Duration.ofSeconds(10)
private const val BUDGET_RATIO = 0.2

/** Statuses that guarantee that the request has not run and never will. */
private val notRunStatuses = setOf(408, 421, 429, 503)

/** Returns every violated guarantee in the [history] of a deployment of [instances] instances. */
internal fun violations(history: SoakHistory, instances: Int): PersistentList<SoakViolation> =
    SoakOracle(history, instances).all()

private class SoakOracle(private val history: SoakHistory, private val instances: Int) {
    private val arrivals = history.arrivals.groupBy { it.id }

    fun all(): PersistentList<SoakViolation> = listOf(
        ranTwice(),
        falseRefusals(),
        foreignAnswers(),
        wronglyRejected(),
        arrivalsAfterDrain(),
        configurationRollbacks(),
        lateConfigurations(),
        overBudget(),
        overLimit(),
        crashingRequestsSentOn(),
        requestsCutByStops(),
        failedStops(),
        callersWithoutLinksUnserved()
    ).flatten().sortedBy { it.at }.toPersistentList()

    private fun writes() = history.requests.filter { it.work == SoakWork.Write }

    private fun ranTwice() = writes().mapNotNull { request ->
        val runs = arrivals[request.id].orEmpty()
        if (runs.size < 2) return@mapNotNull null
        SoakViolation("runs once at most", request.sentAt, "${request.id} ran at $runs")
    }

    private fun falseRefusals() = writes().mapNotNull { request ->
        val status = (request.result as? SoakResult.Answered)?.status
        if (status !in notRunStatuses || request.id !in arrivals) return@mapNotNull null
        SoakViolation("refusals are true", request.sentAt, "${request.id} got $status and ran")
    }

    private fun foreignAnswers() = history.requests.mapNotNull { request ->
        val answer = request.result as? SoakResult.Answered ?: return@mapNotNull null
        if (answer.isGenuine || answer.status >= 300) return@mapNotNull null
        SoakViolation("answers are whole and own", request.sentAt, "$request")
    }

    private fun wronglyRejected() = history.requests.mapNotNull { request ->
        val status = (request.result as? SoakResult.Answered)?.status ?: return@mapNotNull null
        val isDenial = status in 300..499 && status !in notRunStatuses
        if (!isDenial || request.work is SoakWork.ConfigurationProbe) return@mapNotNull null
        SoakViolation("proper requests are not denied", request.sentAt, "$request")
    }

    private fun arrivalsAfterDrain(): List<SoakViolation> =
        events<SoakFault.Drain>().flatMap { (event, drain) ->
            val dueAt = event.from + PROPAGATION_BOUND
            history.arrivals.filter {
                it.target == drain.target && it.at > dueAt && it.at < event.until &&
                    isLateAfterDrain(it, event.from, dueAt)
            }.map {
                SoakViolation("drained targets get nothing", it.at, "$it, drained ${event.from}")
            }
        }

    private fun isLateAfterDrain(arrival: SoakArrival, drainedAt: Duration, dueAt: Duration) =
        history.requests.any {
            it.id == arrival.id && it.sentAt > dueAt &&
                propagationUndisturbed(drainedAt, arrival.at, it.instance)
        }

    private fun probes() = history.requests.mapNotNull { request ->
        (request.work as? SoakWork.ConfigurationProbe)?.let { it.version to request }
    }

    private fun SoakRequest.status(): Int? = (result as? SoakResult.Answered)?.status

    private fun configurationRollbacks(): List<SoakViolation> {
        val seen = probes().filter { it.second.status() == 200 }.groupBy { it.second.instance }
        return seen.values.flatMap { ofInstance ->
            ofInstance.flatMap { (older, later) ->
                ofInstance.filter { (newer, before) ->
                    newer > older && before.endedAt + IN_FLIGHT_OVERLAP < later.sentAt &&
                        !startedBetween(later.instance, before.sentAt, later.endedAt)
                }.take(1).map { (newer, before) ->
                    val detail = "version $newer seen by ${before.endedAt}, then $older: $later"
                    SoakViolation("configurations never go back", later.sentAt, detail)
                }
            }
        }
    }

    private fun lateConfigurations(): List<SoakViolation> {
        val published = history.events.filterIsInstance<SoakEvent.ConfigurationPublished>()
            .fold(persistentHashMapOf<Int, Duration>()) { all, event ->
                all.put(event.version, event.from)
            }
        return probes().mapNotNull { (version, probe) ->
            val at = published[version] ?: return@mapNotNull null
            val replacedAt = published[version + 1]
            val isDue = probe.sentAt > at + PROPAGATION_BOUND && probe.status() == 404 &&
                (replacedAt == null || probe.endedAt < replacedAt)
            if (!isDue ||
                !propagationUndisturbed(at, probe.endedAt, probe.instance)
            ) {
                return@mapNotNull null
            }
            SoakViolation("configurations take effect in time", probe.sentAt, "$probe, sent $at")
        }
    }

    private fun overBudget(): List<SoakViolation> {
        val repeats = arrivals.values.flatMap { runs -> runs.sortedBy { it.at }.drop(1) }
            .map { it.at }.sorted()
        val starts = history.events.count { it.startedInstance() != null }
        return repeats.mapNotNull { from ->
            val inside = repeats.count { it >= from && it < from + BUDGET_WINDOW }
            val allowed = BUDGET_RATIO * mostRequests(from) + instances + starts
            if (inside <= allowed) return@mapNotNull null
            SoakViolation("repeats stay in the budget", from, "$inside repeats, $allowed allowed")
        }.take(1)
    }

    /** Most requests in a window that starts at [from], or half or one window before it. */
    private fun mostRequests(from: Duration): Int = listOf(0L, 2L, 1L).maxOf { halves ->
        val start = from - BUDGET_WINDOW.dividedBy(2).multipliedBy(halves)
        history.requests.count { it.sentAt >= start && it.sentAt < start + BUDGET_WINDOW }
    }

    private fun overLimit(): List<SoakViolation> =
        events<SoakFault.LimitedTarget>().filter { (event, fault) -> isOnlyLimit(event, fault) }
            .flatMap { (event, fault) ->
                val times = history.arrivals.filter { it.target == fault.target }.map { it.at }
                val since = event.from + LIMIT_REACTION
                times.filter { it >= since && it + LIMIT_WINDOW < event.until }
                    .mapNotNull { overLimit(it, times, fault) }
                    .take(1)
            }

    private fun overLimit(
        from: Duration,
        arrivals: List<Duration>,
        fault: SoakFault.LimitedTarget
    ): SoakViolation? {
        val until = from + LIMIT_WINDOW
        val inside = arrivals.count { it >= from && it < until }
        val allowed = LIMIT_RATIO * fault.perSecond * LIMIT_WINDOW.toSeconds() + LIMIT_EXTRA
        val excused = history.events.any { it.stopsInstance() && it.overlaps(from, until) }
        if (inside <= allowed || excused) return null
        val detail = "$inside requests at target ${fault.target}, $allowed allowed"
        return SoakViolation("limits of targets hold", from, detail)
    }

    /** Retries count if neither their instance nor the store was disturbed just before. */
    private fun crashingRequestsSentOn(): List<SoakViolation> =
        history.requests.filter { it.work is SoakWork.Crash }.groupBy { it.work }
            .mapNotNull { (work, requests) ->
                val runs = requests.flatMap { arrivals[it.id].orEmpty() }.map { it.at }.sorted()
                val third = runs.getOrNull(COUNTED_CRASHES - 1) ?: return@mapNotNull null
                val late = runs.filter {
                    it > third + CRASH_REACTION && propagationUndisturbed(it, it)
                }
                if (late.size <= MAX_LATE_CRASHES) return@mapNotNull null
                val detail = "$work ran at $late, its third crash was at $third"
                SoakViolation("crashing requests are not sent on", late.first(), detail)
            }

    private fun isOnlyLimit(event: SoakEvent, fault: SoakFault.LimitedTarget): Boolean =
        events<SoakFault.LimitedTarget>().none { (other, limit) ->
            other != event && limit.target == fault.target &&
                other.overlaps(event.from, event.until)
        }

    private fun requestsCutByStops(): List<SoakViolation> = stops().flatMap { stop ->
        history.requests.filter {
            it.instance == stop.instance && it.result == SoakResult.Broken &&
                it.endedAt > stop.from && it.sentAt < stop.until && it.id in arrivals &&
                onlyPlanned(it.sentAt, it.endedAt)
        }.map { SoakViolation("stops cut nothing off", it.sentAt, "$it, $stop") }
    }

    /** Callers of instances without links are served two thirds as often as those of others. */
    private fun callersWithoutLinksUnserved(): List<SoakViolation> {
        val cuts = events<SoakFault.InstanceLinks>()
        val sent = history.requests.filter { request ->
            (request.work == SoakWork.Read || request.work == SoakWork.Write) &&
                cuts.any { (event, _) ->
                    request.sentAt > event.from + LINK_CUT_REACTION && request.endedAt < event.until
                } && isOtherwiseCalm(request)
        }
        val (cutOff, others) = sent.partition { request ->
            cuts.any { (event, fault) ->
                fault.instance == request.instance &&
                    event.overlaps(request.sentAt, request.endedAt)
            }
        }
        val failed = cutOff.count { it.status() != 200 }
        val isServed = cutOff.servedRatio() >= others.servedRatio() * MIN_SERVED_RATIO
        if (others.isEmpty() || isServed ||
            failed <= ALLOWED_FAILURES + sent.size / REQUESTS_PER_ALLOWED_FAILURE
        ) {
            return emptyList()
        }
        val detail = "$failed of ${cutOff.size} failed at instances without links, " +
            "${others.count { it.status() != 200 }} of ${others.size} at others"
        return listOf(SoakViolation("instances without links serve", sent.first().sentAt, detail))
    }

    private fun List<SoakRequest>.servedRatio(): Double =
        if (isEmpty()) 1.0 else count { it.status() == 200 }.toDouble() / size

    /** Whether nothing but links of instances was disturbed around [request]. */
    private fun isOtherwiseCalm(request: SoakRequest): Boolean = history.events.none {
        val disturbs = !it.isPlanned() && !it.cutsInstanceLinks()
        disturbs && it.overlaps(request.sentAt - RECOVERY_TIME, request.endedAt)
    }

    private fun failedStops(): List<SoakViolation> {
        val slow = stops().filter { it.stopped.exitCode != 0 && onlyPlanned(it.from, it.until) }
            .map { SoakViolation("stops end in time and well", it.from, "$it") }
        val own = history.events.filterIsInstance<SoakEvent.UnexpectedExit>()
            .map { SoakViolation("processes do not end by themselves", it.from, "$it") }
        return slow + own
    }

    private fun stops() = history.events.filterIsInstance<SoakEvent.InstanceStopped>()

    private inline fun <reified F : SoakFault> events(): List<Pair<SoakEvent.FaultInjected, F>> =
        history.events.filterIsInstance<SoakEvent.FaultInjected>()
            .mapNotNull { event -> (event.fault as? F)?.let { event to it } }

    private fun startedBetween(instance: Int, from: Duration, until: Duration): Boolean =
        history.events.any {
            it.startedInstance() == instance && it.until >= from && it.from <= until
        }

    /** Whether only planned events happened from [from] until [until], recovery time included. */
    private fun onlyPlanned(from: Duration, until: Duration): Boolean =
        history.events.none { !it.isPlanned() && it.overlaps(from - RECOVERY_TIME, until) }

    /** Whether no event from [from] until [until] may have delayed what [instance] reads. */
    private fun propagationUndisturbed(
        from: Duration,
        until: Duration,
        instance: Int? = null
    ): Boolean = history.events.none {
        it.delaysPropagation(instance) && it.overlaps(from - RECOVERY_TIME, until)
    }

    private fun SoakEvent.overlaps(start: Duration, end: Duration): Boolean =
        from <= end && until >= start
}
