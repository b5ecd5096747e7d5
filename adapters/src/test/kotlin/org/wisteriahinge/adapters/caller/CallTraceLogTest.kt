package org.wisteriahinge.adapters.caller

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.call.CallEnd
import org.wisteriahinge.core.call.CallRequest
import org.wisteriahinge.core.call.CallTrace
import org.wisteriahinge.core.call.TargetSnapshot
import org.wisteriahinge.core.call.TraceStep
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.retry.RetryDenial
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against log lines from which a caller's request or the cause cannot be identified. */
class CallTraceLogTest {
    private val arrivedAt = Instant.parse("2026-01-01T00:00:00Z")
    private val target = TargetId("t1")

    private fun after(micros: Long) = arrivedAt + Duration.ofNanos(micros * 1_000)

    private val request = CallRequest(
        callId = CallId(7),
        credential = null,
        method = "POST",
        path = "/results/new/7?name=x",
        idempotencyKey = null,
        digest = null,
        deadline = after(2_000_000),
        depth = 0,
        retriesAllowed = true,
        bodyBytes = 12,
        replayable = true,
        arrivedAt = arrivedAt,
        callerRequestId = "c4-17"
    )

    @Test
    fun `a line holds the caller's request id, the known load and the steps`() {
        val report = LoadReport(2, 3, after(-4_000), pacePercent = 120)
        val trace = CallTrace(
            request,
            ServiceId("ledger"),
            RevisionNumber(5),
            CallEnd.Refused(Refusal(RefusalReason.TargetFailed, Execution.MayHaveRun)),
            after(40_250),
            persistentListOf(
                TraceStep.Sent(after(250), 1, TargetSnapshot(target, 1, report)),
                TraceStep.Failed(after(40_250), target, AttemptFailure.Disconnected),
                TraceStep.NotRetried(after(40_250), RetryDenial.NotRepeatable)
            )
        )
        expectThat(trace.fields()).isEqualTo(
            mapOf<String, Any>(
                "request_id" to "c4-17",
                "call_id" to 7L,
                "method" to "POST",
                "path" to "/results/new/7",
                "service" to "ledger",
                "configuration" to 5L,
                "reason" to "target_failed",
                "execution" to "MayHaveRun",
                "elapsed" to "40.25 ms",
                "steps" to "at 0.25 ms attempt 1 sent to t1 (1 own, 2 of 3 in flight, " +
                    "pace 120%, 4.25 ms ago); at 40.25 ms t1 failed: disconnected; " +
                    "at 40.25 ms not retried: not_repeatable"
            )
        )
    }
}
