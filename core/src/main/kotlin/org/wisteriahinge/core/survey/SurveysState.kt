package org.wisteriahinge.core.survey

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.TargetId

/** Whether targets are probed for their load right before a request is sent to one of them. */
public sealed interface SurveyPolicy {
    /** Targets are not probed; the choice uses the load reports at hand. */
    public data object Off : SurveyPolicy

    /**
     * The best [targets] are probed, except those that reported within [maxReportAge]. If none of
     * them has capacity, [secondRoundTargets] others are probed. If these have none either, the
     * request is refused. While most targets have room, [firstTargets] of the best are probed
     * first, and the rest of them only if these have none.
     *
     * A round waits for reports for at most [maxWait], which bounds the delay that a target that
     * does not answer can cause.
     */
    public data class BeforeEach(
        val targets: Int = 2,
        val firstTargets: Int = 1,
        val secondRoundTargets: Int = 4,
        val maxReportAge: Duration = Duration.ofMillis(20),
        val maxWait: Duration = Duration.ofMillis(20)
    ) : SurveyPolicy
}

/** The round of a survey, which decides which targets are probed and how full they may be. */
public sealed interface SurveyRound {
    /** The best targets are probed. */
    public data object First : SurveyRound

    /** Further targets are probed, because those of the first round have no capacity. */
    public data object Second : SurveyRound
}

/**
 * The survey of a call that waits for the load reports of [awaiting], until [expiresAt] at most.
 *
 * [probed] are the targets of all rounds so far, including those with a recent report.
 */
public data class Survey(
    val awaiting: PersistentSet<TargetId>,
    val expiresAt: Instant,
    val probed: PersistentSet<TargetId>,
    val round: SurveyRound = SurveyRound.First
)

/**
 * The surveys in progress, and what they share.
 *
 * [probedAt] holds when each pending probe was sent, by target.
 */
public data class SurveysState(
    val policy: SurveyPolicy = SurveyPolicy.Off,
    val open: PersistentMap<CallId, Survey> = persistentHashMapOf(),
    val probedAt: PersistentMap<TargetId, Instant> = persistentHashMapOf()
) {
    /** When the first open survey expires; null if none is open. */
    public val earliestExpiry: Instant? get() = open.values.minOfOrNull { it.expiresAt }

    internal fun withSurvey(callId: CallId, survey: Survey): SurveysState =
        copy(open = open.put(callId, survey))

    internal fun withoutSurvey(callId: CallId): SurveysState = copy(open = open.remove(callId))

    internal fun probeSent(target: TargetId, now: Instant): SurveysState =
        copy(probedAt = probedAt.put(target, now))

    internal fun probeEnded(target: TargetId): SurveysState =
        if (target in probedAt) copy(probedAt = probedAt.remove(target)) else this
}
