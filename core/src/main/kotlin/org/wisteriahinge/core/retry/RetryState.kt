package org.wisteriahinge.core.retry

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.model.OperationId
import org.wisteriahinge.core.model.ServiceId

/** Whether slow calls get a hedge: a second attempt in parallel to the first. */
public sealed interface Hedging {
    /** For front ends that carry one attempt of a call at a time. */
    public data object Off : Hedging

    /** A hedge starts after the [quantile] of the service's answer times. */
    public data class AfterQuantile(val quantile: Double) : Hedging
}

/**
 * Bounds on retries and hedges.
 *
 * [retryRatio] is the number of retries allowed per call of a service, [hedgeRatio] that of hedges
 * per repeatable call. Their sum stays below 0.1, so that every layer has at most 1.1 attempts per
 * call. [burst] is the number of unused ones that accumulate. A service starts with a full burst of
 * retries, so that it can retry at all with little traffic, and without hedges. These three apply
 * if [limit] is [RetryLimit.TokenBucket].
 */
public data class RetrySettings(
    val retryRatio: Double = 0.07,
    val hedgeRatio: Double = 0.02,
    val burst: Double = 10.0,
    val maxAttempts: Int = 3,
    val hedging: Hedging = Hedging.Off,
    val limit: RetryLimit = RetryLimit.TokenBucket
)

/** A token bucket; [balance] is the number of retries or hedges that a service may start now. */
public data class RetryBudget(val balance: Double, val burst: Double) {
    public fun deposit(amount: Double): RetryBudget = copy(balance = minOf(burst, balance + amount))

    /** Returns the budget after one retry or hedge; null if it is used up. */
    public fun withdraw(): RetryBudget? = if (balance >=
        1.0
    ) {
        copy(balance = balance - 1.0)
    } else {
        null
    }
}

/**
 * Retry and hedge budgets of one service at this instance, and answer times by operation. Kinds of
 * requests that share targets may differ several times in their answer times.
 */
public data class ServiceRetries(
    val retries: RetryBudget,
    val hedges: RetryBudget,
    val answerTimes: PersistentMap<OperationId, QuantileEstimate> = persistentHashMapOf(),
    val window: RetryWindow = RetryWindow()
)

/** The retries and hedges of this instance, by service. */
public data class RetryState(
    val settings: RetrySettings = RetrySettings(),
    val services: PersistentMap<ServiceId, ServiceRetries> = persistentHashMapOf()
) {
    /** The budgets of [service]; the initial ones if no call of it was counted yet. */
    public fun of(service: ServiceId): ServiceRetries = services[service] ?: ServiceRetries(
        retries = RetryBudget(settings.burst, settings.burst),
        hedges = RetryBudget(balance = 0.0, settings.burst)
    )

    /** Counts a call of [service] that starts its first attempt at [now]. */
    public fun callStarted(service: ServiceId, isRepeatable: Boolean, now: Instant): RetryState =
        with(of(service)) {
            val counted = when (val limit = settings.limit) {
                RetryLimit.TokenBucket -> copy(
                    retries = retries.deposit(settings.retryRatio),
                    hedges = if (isRepeatable) hedges.deposit(settings.hedgeRatio) else hedges
                )
                is RetryLimit.Window ->
                    copy(window = window.countRequest(limit, isRepeatable, now))
            }
            put(service, counted)
        }

    /** Returns the state after one retry; null if the budget of [service] is used up. */
    public fun withdrawRetry(service: ServiceId, now: Instant): RetryState? = with(of(service)) {
        when (val limit = settings.limit) {
            RetryLimit.TokenBucket -> retries.withdraw()?.let { put(service, copy(retries = it)) }
            is RetryLimit.Window -> window.takeIf { it.allowsRetry(limit, now) }
                ?.let { put(service, copy(window = it.countRetry(limit, now))) }
        }
    }

    /** Returns the state after one hedge; null if the budget of [service] is used up. */
    public fun withdrawHedge(service: ServiceId, now: Instant): RetryState? = with(of(service)) {
        when (val limit = settings.limit) {
            RetryLimit.TokenBucket -> hedges.withdraw()?.let { put(service, copy(hedges = it)) }
            is RetryLimit.Window ->
                window.takeIf { it.allowsHedge(limit, limit.hedges.roundingFor(service), now) }
                    ?.let { put(service, copy(window = it.countHedge(limit, now))) }
        }
    }

    /** Records that an answer to the short [operation] of [service] began after [elapsed]. */
    public fun observeAnswerTime(
        service: ServiceId,
        operation: OperationId,
        elapsed: Duration
    ): RetryState = when (val hedging = settings.hedging) {
        Hedging.Off -> this
        is Hedging.AfterQuantile -> with(of(service)) {
            val estimate = answerTimes[operation]?.observe(elapsed)
                ?: QuantileEstimate(hedging.quantile, elapsed)
            put(service, copy(answerTimes = answerTimes.put(operation, estimate)))
        }
    }

    /**
     * Records that an attempt was cancelled [elapsed] after its start without an answer. It counts
     * if it took longer than the quantile: its answer would have been later still. Without these,
     * the quantile would fall with each slow attempt that a hedge replaced.
     */
    public fun observeNoAnswer(
        service: ServiceId,
        operation: OperationId,
        elapsed: Duration
    ): RetryState {
        val known = of(service).answerTimes[operation]?.value ?: return this
        return if (elapsed > known) observeAnswerTime(service, operation, elapsed) else this
    }

    private fun put(service: ServiceId, changed: ServiceRetries): RetryState =
        copy(services = services.put(service, changed))
}
