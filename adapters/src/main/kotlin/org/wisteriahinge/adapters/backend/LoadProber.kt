package org.wisteriahinge.adapters.backend

import java.time.Clock
import java.time.Duration
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.model.Target

/** Load changes within milliseconds, so that later reports are of no use. */
private val PROBE_TIMEOUT: Duration = Duration.ofMillis(250)

/** Converts the answer to a probe of [Target] to the event for the `calls` duty. */
public fun interface ProbeReader {
    public fun read(answer: BackendAnswer, target: Target, clock: Clock): CallEvent
}

/**
 * Probes targets for their load and passes each outcome to [report], which must not block.
 *
 * Probes share the connections of calls; [ownership] tells their answers from those to calls.
 */
public class LoadProber(
    private val backend: BackendClient,
    private val reader: ProbeReader,
    private val ownership: AnswerOwnership,
    private val clock: Clock,
    private val report: (CallEvent) -> Unit
) {
    /** Starts a probe of [target] at [path] and returns at once. */
    public fun probe(target: Target, path: String) {
        val request = probeRequest(path, PROBE_TIMEOUT, ownership)
        backend.send(target.address, request, Probe(target))
    }

    private inner class Probe(private val target: Target) : AnswerObserver {
        override fun answered(answer: BackendAnswer) {
            report(reader.read(answer, target, clock))
            // A body that is too long to be collected is no report on load and may never end.
            (answer.body as? AnswerBody.Streamed)?.flow?.discard()
        }

        override fun failed(failure: AttemptFailure, detail: String) {
            report(CallEvent.ProbeFailed(target.id))
        }

        override fun received(piece: ByteArray) = Unit

        override fun completed() = Unit

        override fun truncated(detail: String) = Unit
    }
}
