package org.wisteriahinge.bench.policy

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.app.RetryBudgetSettings
import org.wisteriahinge.core.model.Repeatability
import org.wisteriahinge.core.model.WorkClass
import org.wisteriahinge.core.survey.SurveyPolicy

/** Demand from [atMillis] on, as a ratio of the capacity of all targets at normal speed. */
internal data class DemandStep(val atMillis: Long, val ratio: Double)

/**
 * A kind of request; [weight] is its share, [meanMillis] its mean time on a slot.
 *
 * A request that [crashes] ends its server's process when its time on the slot is over; its caller
 * sends it again.
 */
internal data class RequestKind(
    val name: String,
    val weight: Double,
    val meanMillis: Double,
    val workClass: WorkClass = WorkClass.Short,
    val repeatability: Repeatability = Repeatability.Repeatable,
    val customer: Int = 0,
    val crashes: Boolean = false
)

/** A run of [scenario] with the same policy and seed, whose [fields] are printed for comparison. */
internal class Reference(val scenario: Scenario, val fields: (RunResult) -> Map<String, Double>)

/** What changes at a target. */
internal sealed interface TargetChange {
    /** Work proceeds at [factor] times the normal speed. */
    data class Speed(val factor: Double) : TargetChange

    /** Requests are answered with status 500 after a tenth of their time. */
    data class FailFast(val failing: Boolean) : TargetChange

    /** The target is to leave and says so by [announcement] only. */
    data class Drain(val announcement: Announcement) : TargetChange

    /** The target's load reports always say that it is idle and serving. */
    data class Misreport(val misreporting: Boolean) : TargetChange

    /** Answers name a limit of [perSecond] requests over all instances from now on. */
    data class Limit(val perSecond: Double) : TargetChange

    /** The process ends; requests on it are cut off and it returns after [downMillis]. */
    data class Crash(val downMillis: Long) : TargetChange

    /** The process listens again after a crash. */
    data object Return : TargetChange
}

/** How a target makes known that it leaves. */
internal sealed interface Announcement {
    /** It refuses new requests as not run; its load reports do not show it. */
    data object Refusing : Announcement

    /** Its load endpoint says so; it still accepts requests. */
    data object Reported : Announcement

    /** It is taken out of the operators' list; it still accepts requests. */
    data object Unlisted : Announcement
}

/** [change] happens at [target] (an index) at [atMillis]. */
internal data class TimedChange(val atMillis: Long, val target: Int, val change: TargetChange)

/** Every target's speed is drawn anew between [low] and [high] after a random time. */
internal data class SpeedNoise(
    val low: Double,
    val high: Double,
    val minMillis: Double = 5.0,
    val maxMillis: Double = 50.0
)

/**
 * What a run simulates; a value without behaviour.
 *
 * Requests that arrive before [warmupMillis] are simulated and not measured. [queueLimit] requests
 * wait at a target before it sheds. A target refreshes its load report every [reportMillis]. With
 * a [retryBudget] the load balancer's own policy retries and hedges as `front` does.
 */
internal data class Scenario(
    val name: String,
    val instances: Int = 18,
    val targets: Int = 20,
    val zones: Int = 4,
    val slots: Int = 3,
    val durationMillis: Long = 10_000,
    val warmupMillis: Long = 2_000,
    val demand: PersistentList<DemandStep> = persistentListOf(DemandStep(0, 0.7)),
    val kinds: PersistentList<RequestKind> = MIXED_KINDS,
    val changes: PersistentList<TimedChange> = persistentListOf(),
    val noise: SpeedNoise? = null,
    val deadlineMillis: Long = 2_000,
    val queueLimit: Int = 24,
    val reportMillis: Long = 5,
    val failingAttemptRatio: Double = 0.0,
    val tickMillis: Long = 20,
    val heartbeatMillis: Long = 1_000,
    val crashDownMillis: Long = 300,
    val survey: SurveyPolicy = SurveyPolicy.Off,
    val limitSharing: LimitSharing = LimitSharing.Ignored,
    val callers: SimCallers = SimCallers.Customers,
    val resending: Resending = Resending(),
    val stranding: Stranding? = null,
    val retryBudget: RetryBudgetSettings? = null,
    val reference: Reference? = null,
    val extraFields: (RunResult) -> Map<String, Double> = { emptyMap() }
) {
    /** Mean time of a request on a slot. */
    val meanMillis: Double
        get() = kinds.sumOf { it.weight * it.meanMillis } / kinds.sumOf { it.weight }

    /** Requests that all targets together can serve in a second at normal speed. */
    val capacityPerSecond: Double get() = targets * slots * 1_000 / meanMillis
}

/** Lookups of about 6 ms with some of about 32 ms: a mean of about 10 ms. */
internal val MIXED_KINDS: PersistentList<RequestKind> = persistentListOf(
    RequestKind("lookup", weight = 0.85, meanMillis = 6.0),
    RequestKind("report", weight = 0.15, meanMillis = 32.0)
)
