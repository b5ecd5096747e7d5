package org.wisteriahinge.app

import java.time.Duration
import org.wisteriahinge.adapters.backend.ConnectionLimits
import org.wisteriahinge.adapters.caller.BodyLimits
import org.wisteriahinge.adapters.caller.CallerServerSettings
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.call.EarlyCalls
import org.wisteriahinge.core.call.HeldCalls
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.Configuration
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

/** Bodies up to this size are kept, so that they can be sent to another target. */
private const val MAX_BUFFERED_BODY_BYTES = 1_048_576

/** Part of the allowed repeats that an instance uses; the rest covers slices of the window. */
private const val RETRY_BUDGET_SHARE = 0.95

/** Repeats of a service that an instance may make without having had requests for it. */
private const val RETRY_ALLOWANCE = 1.0

/** Part of the repeats that hedges may use. */
private const val HEDGE_SHARE = 0.85

/** Share of answers that arrive before a hedge starts. */
private const val HEDGE_QUANTILE = 0.9

private const val MAX_ATTEMPTS = 2

/** Expected time that another zone must save, because bytes between zones cost. */
private const val ZONE_PENALTY_MILLIS = 8.0
private const val ZONE_PENALTY_MILLIS_PER_KIB = 0.8

/** A connection that was not accepted by then is tried at another target. */
private val CONNECT_TIMEOUT: Duration = Duration.ofMillis(400)

private const val CONNECTIONS_PER_TARGET = 14

/** An instance that reaches the store or a relay has read both topics by then. */
private val MAX_EARLY_CALL_WAIT: Duration = Duration.ofMillis(400)

/** How an instance on the platform serves callers at [callers]. */
internal fun FrontSettings.pipelineSettings(callers: Address): CallPipelineSettings =
    CallPipelineSettings(
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
        probeReader = HealthReader
    )

/** What an instance on the platform decides by, before it has a configuration. */
internal fun FrontSettings.initialState(): CallsState = CallsState(
    configuration = Configuration.Empty,
    routing = RoutingState(
        RoutingPolicy.Wisteriahinge(
            zonePenaltyMillis = ZONE_PENALTY_MILLIS,
            zonePenaltyMillisPerKib = ZONE_PENALTY_MILLIS_PER_KIB
        ),
        zone,
        seed
    ),
    retries = RetryState(
        RetrySettings(
            maxAttempts = MAX_ATTEMPTS,
            hedging = Hedging.AfterQuantile(HEDGE_QUANTILE),
            limit = RetryLimit.Window(
                retryBudget.window,
                retryBudget.ratio * RETRY_BUDGET_SHARE,
                RETRY_ALLOWANCE,
                HEDGE_SHARE
            )
        )
    ),
    surveys = SurveysState(SurveyPolicy.BeforeEach()),
    held = HeldCalls(EarlyCalls.Held(MAX_EARLY_CALL_WAIT))
)
