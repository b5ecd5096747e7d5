package org.wisteriahinge.adapters.backend

import java.time.Duration
import kotlinx.collections.immutable.persistentListOf

/** A request for [path] that asks a target about itself and is no attempt to serve a call. */
internal fun probeRequest(
    path: String,
    timeout: Duration,
    ownership: AnswerOwnership
): BackendRequest = BackendRequest(
    method = "GET",
    pathAndQuery = path,
    headers = persistentListOf(),
    body = RequestBody.None,
    remaining = timeout,
    ownership = ownership,
    retryOnStaleConnection = true
)
