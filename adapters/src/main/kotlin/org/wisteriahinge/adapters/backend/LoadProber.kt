package org.wisteriahinge.adapters.backend

import java.time.Clock
import java.time.Duration
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.model.Target

/** A report that takes longer is of no use, because load shifts within milliseconds. */
private val PROBE_TIMEOUT: Duration = Duration.ofMillis(250)

/** Reads what the answer to a probe says of its target. */
public fun interface ProbeReader {
    public fun read(answer: BackendAnswer, target: Target, clock: Clock): CallEvent
}

/** Asks targets for their load and hands each outcome to [report], which must not block. */
public class LoadProber(
    private val backend: BackendClient,
    private val reader: ProbeReader,
    private val clock: Clock,
    private val report: (CallEvent) -> Unit
) {
    /** Starts a probe of [target] at [path] and returns at once. */
    public fun probe(target: Target, path: String) {
        val request = BackendRequest(
            method = "GET",
            pathAndQuery = path,
            headers = persistentListOf(),
            body = RequestBody.None,
            remaining = PROBE_TIMEOUT,
            retryOnStaleConnection = true
        )
        backend.send(target.address, request, Probe(target))
    }

    private inner class Probe(private val target: Target) : AnswerObserver {
        override fun answered(answer: BackendAnswer) {
            report(reader.read(answer, target, clock))
            // A long answer is read to its end, so that its connection can be used again.
            (answer.body as? AnswerBody.Streamed)?.flow?.resume()
        }

        override fun failed(failure: AttemptFailure, detail: String) {
            report(CallEvent.ProbeFailed(target.id))
        }

        override fun received(piece: ByteArray) = Unit

        override fun completed() = Unit

        override fun truncated(detail: String) = Unit
    }
}
