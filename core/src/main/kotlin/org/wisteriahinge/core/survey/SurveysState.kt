package org.wisteriahinge.core.survey

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.TargetId

/** Whether targets are asked for their load right before a request is sent to one of them. */
public sealed interface SurveyPolicy {
    /** A target is chosen by what is known already. */
    public data object Off : SurveyPolicy

    /**
     * The best [targets] are asked unless they reported within [maxReportAge]. When none of them has
     * room, [secondRoundTargets] others are asked; when these have none either, the request is refused.
     *
     * The request waits for the reports at most [maxWait], which bounds what a target that does
     * not answer can cost.
     */
    public data class BeforeEach(
        val targets: Int = 2,
        val secondRoundTargets: Int = 4,
        val maxReportAge: Duration = Duration.ofMillis(20),
        val maxWait: Duration = Duration.ofMillis(20)
    ) : SurveyPolicy
}

/** Weight of the newest call in the share of calls that found no room. */
private const val FULL_SHARE_WEIGHT = 0.1

/** How many targets a survey has asked. */
public sealed interface SurveyRound {
    /** The best ones. */
    public data object First : SurveyRound

    /** More of them, because those asked first have no room. */
    public data object Second : SurveyRound
}

/**
 * A call that waits for the reports of [awaiting], at most until [expiresAt]; [probed] are all targets
 * that were asked for it.
 */
public data class Survey(
    val awaiting: PersistentSet<TargetId>,
    val expiresAt: Instant,
    val probed: PersistentSet<TargetId>,
    val round: SurveyRound = SurveyRound.First
)

/**
 * The surveys in progress.
 *
 * [probedAt] are the targets whose report is on its way. [fullShares] are the shares of recent calls
 * of each service that found no room.
 */
public data class SurveysState(
    val policy: SurveyPolicy = SurveyPolicy.Off,
    val open: PersistentMap<CallId, Survey> = persistentHashMapOf(),
    val probedAt: PersistentMap<TargetId, Instant> = persistentHashMapOf(),
    val fullShares: PersistentMap<ServiceId, Double> = persistentHashMapOf()
) {
    /** When the first survey stops waiting; null when none is open. */
    public val earliestExpiry: Instant? get() = open.values.minOfOrNull { it.expiresAt }

    /** The share of recent calls of [service] that found no room. */
    internal fun fullShare(service: ServiceId): Double = fullShares[service] ?: 0.0

    /** A call of [service] was sent on, or refused because all targets are [full]. */
    internal fun recordOutcome(service: ServiceId, full: Boolean): SurveysState {
        val sample = if (full) 1.0 else 0.0
        val before = fullShare(service)
        val share = before + FULL_SHARE_WEIGHT * (sample - before)
        return copy(fullShares = fullShares.put(service, share))
    }

    internal fun withSurvey(callId: CallId, survey: Survey): SurveysState =
        copy(open = open.put(callId, survey))

    internal fun withoutSurvey(callId: CallId): SurveysState = copy(open = open.remove(callId))

    internal fun probeSent(target: TargetId, now: Instant): SurveysState =
        copy(probedAt = probedAt.put(target, now))

    internal fun probeEnded(target: TargetId): SurveysState =
        if (target in probedAt) copy(probedAt = probedAt.remove(target)) else this
}
