package org.wisteriahinge.adapters.backend

import java.io.Closeable
import java.time.Clock
import java.time.Duration
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.model.Target

/** A report that takes longer is of no use, because load shifts within milliseconds. */
private val PROBE_TIMEOUT: Duration = Duration.ofMillis(250)

/** Reads the load out of the answer to a probe; null when it holds none. */
public fun interface ProbeReader {
    public fun read(answer: BackendAnswer, target: Target, clock: Clock): CallEvent
}

/** Asks targets for their load and hands each outcome to [report], which must not block. */
public class LoadProber(
    private val backend: BackendClient,
    private val reader: ProbeReader,
    private val clock: Clock,
    private val report: (CallEvent) -> Unit
) : Closeable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Unconfined)

    /** Starts a probe of [target] at [path] and returns at once. */
    public fun probe(target: Target, path: String) {
        val request = BackendRequest(
            method = "GET",
            pathAndQuery = path,
            headers = persistentListOf(),
            body = RequestBody.None,
            remaining = PROBE_TIMEOUT
        )
        scope.launch {
            try {
                backend.send(target.address, request) { report(reader.read(it, target, clock)) }
            } catch (_: AttemptFailedException) {
                report(CallEvent.ProbeFailed(target.id))
            }
        }
    }

    override fun close() {
        scope.cancel()
    }
}
