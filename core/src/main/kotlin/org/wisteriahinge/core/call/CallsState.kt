package org.wisteriahinge.core.call

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.model.AttemptId
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.MatchedOperation
import org.wisteriahinge.core.routing.RoutingState

/** An attempt in progress and its state in the chart `call-attempt`. */
public data class AttemptInProgress(val attempt: Attempt, val state: AttemptState)

/** A call in progress. [attemptsStarted] counts all attempts, ended ones included. */
public data class CallInProgress(
    val request: CallRequest,
    val caller: EntitledCaller,
    val matched: MatchedOperation,
    val attempts: PersistentMap<AttemptId, AttemptInProgress> = persistentHashMapOf(),
    val attemptsStarted: Int = 0,
    val claim: CallClaim = CallClaim.None
)

/** All that the decisions on calls depend on. Owned by the `calls` duty. */
public data class CallsState(
    val configuration: Configuration,
    val routing: RoutingState,
    val calls: PersistentMap<CallId, CallInProgress> = persistentHashMapOf(),
    val lastAttemptId: Long = 0
)
