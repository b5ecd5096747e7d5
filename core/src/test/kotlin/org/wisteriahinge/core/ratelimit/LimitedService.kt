package org.wisteriahinge.core.ratelimit

import java.time.Duration
import java.time.Instant
import org.wisteriahinge.core.call.Attempt
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallsHarness
import org.wisteriahinge.core.call.OpenRoutesFixture
import org.wisteriahinge.core.call.OpenRoutesFixture.arriveOpen
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.RateLimitReport
import org.wisteriahinge.core.model.TargetId

private val SERVICE_TIME: Duration = Duration.ofMillis(50)

/** Time after the first answer with a limit from which the limit must hold. */
private val REACTION_TIME: Duration = Duration.ofSeconds(3)
private val WINDOW: Duration = Duration.ofSeconds(4)
private const val TOLERANCE_RATIO = 1.5
private const val TOLERANCE_REQUESTS = 5

/** An attempt in progress: the [instance] gets the answer at [answeredAt]. */
private class Running(
    val instance: Int,
    val call: Long,
    val attempt: Attempt,
    val answeredAt: Instant
)

/**
 * Several instances that serve one service under one virtual clock.
 *
 * Of its [targets], those in [limits] name that limit, in requests per second, in each answer.
 */
internal class LimitedService(
    private val instances: List<CallsHarness>,
    private val limits: Map<TargetId, Double>
) {
    val start: Instant = OpenRoutesFixture.start
    private val arrivals = mutableListOf<Pair<TargetId, Instant>>()
    private val running = ArrayDeque<Running>()
    private var calls = 0L

    var refused = 0
        private set

    /** Sends [perSecond] calls a second, to one instance after the other, for [length]. */
    fun play(perSecond: Int, length: Duration) {
        val gap = Duration.ofSeconds(1).dividedBy(perSecond.toLong())
        var now = start
        while (now < start + length) {
            answerUntil(now)
            arrive(now)
            now += gap
        }
        answerUntil(now + SERVICE_TIME)
    }

    private fun arrive(now: Instant) {
        val index = (calls % instances.size).toInt()
        val instance = instances[index]
        calls += 1
        instance.now = now
        val request = OpenRoutesFixture.request(calls)
            .copy(arrivedAt = now, deadline = now + Duration.ofSeconds(2))
        instance.arriveOpen(request)
        refused += instance.refusals.size
        instance.forwarded.forEach { attempt ->
            arrivals += attempt.target.id to now
            running += Running(index, calls, attempt, now + SERVICE_TIME)
        }
    }

    private fun answerUntil(now: Instant) {
        while (running.isNotEmpty() && running.first().answeredAt <= now) {
            answer(running.removeFirst())
        }
    }

    private fun answer(done: Running) {
        val instance = instances[done.instance]
        instance.now = done.answeredAt
        val limit = limits[done.attempt.target.id]?.let { RateLimitReport.Limited(it) }
        val callId = CallId(done.call)
        val report = OpenRoutesFixture.report(done.answeredAt)
        val answered = CallEvent.Answered(
            callId,
            done.attempt.id,
            200,
            report,
            limit ?: RateLimitReport.Unlimited
        )
        instance.handle(answered)
        instance.handle(CallEvent.Completed(callId, done.attempt.id))
    }

    /** Requests that [target] got. */
    fun requestsAt(target: TargetId): Int = arrivals.count { it.first == target }

    /** Most requests that [target] got in a window, once the limit must hold. */
    fun mostInWindow(target: TargetId): Int {
        val times = arrivals.filter { it.first == target && it.second >= start + REACTION_TIME }
            .map { it.second }
        return times.maxOfOrNull { from -> times.count { it >= from && it < from + WINDOW } } ?: 0
    }

    companion object {
        /** Requests that a target with [limit] requests a second may get in a window. */
        fun allowedInWindow(limit: Double): Int =
            (TOLERANCE_RATIO * limit * WINDOW.toSeconds() + TOLERANCE_REQUESTS).toInt()
    }
}
