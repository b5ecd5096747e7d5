package org.wisteriahinge.app

import java.time.Duration
import org.wisteriahinge.adapters.backend.ConnectionLimits
import org.wisteriahinge.adapters.caller.BodyLimits
import org.wisteriahinge.adapters.caller.CallerServerSettings
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.call.EarlyCallPolicy
import org.wisteriahinge.core.call.HeldCalls
import org.wisteriahinge.core.handover.HandoverPolicy
import org.wisteriahinge.core.handover.HandoverState
import org.wisteriahinge.core.keys.KeyTrust
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.quarantine.CrashEvidence
import org.wisteriahinge.core.quarantine.QuarantineSettings
import org.wisteriahinge.core.quarantine.QuarantineState
import org.wisteriahinge.core.quota.QuotaClient
import org.wisteriahinge.core.quota.QuotaPolicy
import org.wisteriahinge.core.ratelimit.RateLimitShare
import org.wisteriahinge.core.ratelimit.RateLimits
import org.wisteriahinge.core.retry.HedgeLimit
import org.wisteriahinge.core.retry.Hedging
import org.wisteriahinge.core.retry.RetryLimit
import org.wisteriahinge.core.retry.RetrySettings
import org.wisteriahinge.core.retry.RetryState
import org.wisteriahinge.core.routing.RoutingPolicy
import org.wisteriahinge.core.routing.RoutingState
import org.wisteriahinge.core.survey.SurveyPolicy
import org.wisteriahinge.core.survey.SurveysState
import org.wisteriahinge.platform.HealthReader
import org.wisteriahinge.platform.platformDialect

/** Bodies up to this size are buffered, so that they can be sent again to another target. */
private const val MAX_BUFFERED_BODY_BYTES = 1_048_576

/** Share of the retry budget in use; the rest covers the rounding of the window to slices. */
private const val RETRY_BUDGET_SHARE = 0.95

/** Retries that are allowed for a service before any request for it. */
private const val RETRY_ALLOWANCE = 1.0

/** Share of the retry budget that hedges may use. */
private const val HEDGE_SHARE = 0.85

/** A hedge starts after this quantile of the answer times of its operation. */
private const val HEDGE_QUANTILE = 0.9

private const val MAX_ATTEMPTS = 2

/** Time that a target in another zone must save, because traffic between zones is charged. */
private const val ZONE_PENALTY_MILLIS = 8.0
private const val ZONE_PENALTY_MILLIS_PER_KIB = 0.8

/** A connection attempt that takes longer is given up, and another target is tried. */
private val CONNECT_TIMEOUT: Duration = Duration.ofMillis(400)

private const val CONNECTIONS_PER_TARGET = 14

/**
 * How long calls wait for the first configuration and targets. An instance that reaches the store
 * or a relay has read both topics by then.
 */
private val MAX_EARLY_CALL_WAIT: Duration = Duration.ofMillis(400)

/** Callers may send a request that crashes targets again after minutes. */
private val SUSPICION_PERIOD: Duration = Duration.ofMinutes(10)

/**
 * Settings of the call pipeline that listens at [callers], and for other instances at [handover].
 */
internal fun FrontSettings.pipelineSettings(
    callers: Address,
    handover: HandoverEndpoint? = null
): CallPipelineSettings = CallPipelineSettings(
    CallerServerSettings(
        host = callers.host,
        port = callers.port,
        defaultTimeout = defaultTimeout,
        maxTimeout = maxTimeout,
        body = BodyLimits(MAX_BUFFERED_BODY_BYTES, bodyMemoryBytes),
        dialect = platformDialect
    ),
    ConnectionLimits(CONNECTIONS_PER_TARGET, connectTimeout = CONNECT_TIMEOUT),
    // Open routes have no credentials to compare.
    credentialKey = name,
    probeReader = HealthReader,
    handover = handover,
    clients = clients
)

/** State of the calls duty before the first configuration. */
internal fun FrontSettings.initialState(): CallsState = CallsState(
    configuration = Configuration.Empty,
    routing = RoutingState(
        RoutingPolicy.LeastExpectedTime(
            zonePenaltyMillis = ZONE_PENALTY_MILLIS,
            zonePenaltyMillisPerKib = ZONE_PENALTY_MILLIS_PER_KIB
        ),
        zone,
        seed,
        rateLimits = RateLimits(share = RateLimitShare.None)
    ),
    retries = RetryState(retryBudget.toRetrySettings(seed)),
    surveys = SurveysState(SurveyPolicy.BeforeEach()),
    quarantine = QuarantineState(
        QuarantineSettings(
            evidence = CrashEvidence.EndedServer,
            exclusivePeriod = Duration.ZERO,
            suspicionPeriod = SUSPICION_PERIOD
        )
    ),
    held = HeldCalls(EarlyCallPolicy.Held(MAX_EARLY_CALL_WAIT)),
    handover = HandoverState(
        if (handover == null) HandoverPolicy.Off else HandoverPolicy.ToInstances(InstanceId(name))
    ),
    keyTrust = KeyTrust(bounds.revocation),
    quotas = QuotaClient(
        QuotaPolicy.ThroughRelays(
            platform.relays,
            platform.ownRelay?.takeIf { it in platform.relays },
            seed
        )
    )
)

/** The bounds on retries and hedges of an instance with [seed]. */
public fun RetryBudgetSettings.toRetrySettings(seed: Long): RetrySettings = RetrySettings(
    maxAttempts = MAX_ATTEMPTS,
    hedging = if (hedgeRatio > 0) Hedging.AfterQuantile(HEDGE_QUANTILE) else Hedging.Off,
    limit = RetryLimit.Window(
        window,
        ratio * RETRY_BUDGET_SHARE,
        RETRY_ALLOWANCE,
        HedgeLimit(hedgeRatio, HEDGE_SHARE, seed)
    )
)
