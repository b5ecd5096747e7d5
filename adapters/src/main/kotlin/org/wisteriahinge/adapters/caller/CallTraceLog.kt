package org.wisteriahinge.adapters.caller

import io.github.oshai.kotlinlogging.KotlinLogging
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.time.Duration
import java.time.Instant
import java.util.concurrent.atomic.AtomicLong
import org.wisteriahinge.core.call.CallEnd
import org.wisteriahinge.core.call.CallTrace
import org.wisteriahinge.core.call.LimitSnapshot
import org.wisteriahinge.core.call.TargetSnapshot
import org.wisteriahinge.core.call.TraceStep
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.RequestDigest
import org.wisteriahinge.runtime.CallTraceSink

private val logger = KotlinLogging.logger("org.wisteriahinge.calls")
private const val MICROS_PER_MILLI = 1_000.0
private const val HUNDREDTHS = 100.0

/** Logs each call that was refused, was abandoned by its caller, or took more than one step. */
public class CallTraceLog : CallTraceSink {
    private val written = AtomicLong()
    private val leftOut = AtomicLong()

    /** Adds the counters of the lines to [registry]. */
    public fun register(registry: PrometheusRegistry) {
        val lines = CounterWithCallback.builder()
            .name("wisteriahinge_call_lines_total")
            .help("Lines of the log on calls, by whether they were written")
            .labelNames("event")
        lines.callback {
            it.call(written.toDouble(), "written")
            it.call(leftOut.toDouble(), "left_out")
        }.register(registry)
    }

    override fun write(trace: CallTrace) {
        written.incrementAndGet()
        logger.atInfo {
            message = trace.end.message()
            payload = trace.fields()
        }
    }

    override fun leftOut() {
        leftOut.incrementAndGet()
    }
}

private fun CallEnd.message(): String = when (this) {
    CallEnd.Answered -> "call answered"
    is CallEnd.Refused -> "call refused"
    is CallEnd.CallerGone -> "caller left"
}

/** The fields of the log line. The query is omitted because it may contain personal data. */
internal fun CallTrace.fields(): Map<String, Any> = nullableFields().mapNotNull { (name, value) ->
    value?.let { name to it }
}.toMap()

private fun CallTrace.nullableFields(): Map<String, Any?> = mapOf(
    "request_id" to request.callerRequestId,
    "call_id" to request.callId.value,
    "method" to request.method,
    "path" to request.path.substringBefore('?'),
    "service" to service?.value,
    "from_instance" to request.handover?.from?.value,
    "configuration" to revision.value
) + end.fields(crashDigest()) + mapOf(
    "elapsed" to formatMillis(startedAt(), endedAt),
    "steps" to
        steps.joinToString("; ") { "at ${formatMillis(startedAt(), it.at)} ${it.describe()}" }
)

/** The name of a request in the lines on crashes; known only where it was needed. */
private fun CallTrace.crashDigest(): RequestDigest? {
    val reason = (end as? CallEnd.Refused)?.refusal?.reason
    return if (reason == RefusalReason.CrashesServers) request.content?.digest() else null
}

private fun CallEnd.fields(digest: RequestDigest?): Map<String, Any?> = when (this) {
    CallEnd.Answered -> emptyMap()
    is CallEnd.Refused -> mapOf(
        "reason" to refusal.reason.wireName,
        "execution" to refusal.execution.toString(),
        "retry_after_ms" to refusal.retryAfter?.toMillis(),
        "digest" to digest?.value
    )
    is CallEnd.CallerGone -> mapOf("execution" to execution.toString())
}

private fun CallTrace.startedAt(): Instant = request.arrivedAt ?: steps.firstOrNull()?.at ?: endedAt

private fun formatMillis(from: Instant, to: Instant): String =
    "${Duration.between(from, to).toNanos() / MICROS_PER_MILLI.toLong() / MICROS_PER_MILLI} ms"

private fun TraceStep.describe(): String = when (this) {
    is TraceStep.Sent -> "attempt $number sent to ${target.describe(at)}${passedOverText()}"
    is TraceStep.HandedOver ->
        "attempt $number handed over to instance $instance: ${cause.wireName}"
    is TraceStep.Failed -> "$target failed: ${failure.wireName}"
    is TraceStep.ErrorAnswered -> "$target answered $status"
    is TraceStep.NotRetried -> "not retried: ${denial.wireName}"
    is TraceStep.NotHedged -> "not hedged: ${denial.wireName}"
    is TraceStep.AtRateLimit -> limited.describe()
    is TraceStep.NoCapacity -> "no room at ${probed.joinToString { it.describe(at) }}"
}

private fun TraceStep.Sent.passedOverText(): String =
    if (passedOver == 0) "" else ", passing over $passedOver at their rate limits"

/** Targets that want a pause name no limit. */
private fun List<LimitSnapshot>.describe(): String = if (isEmpty()) {
    "all usable targets want a pause"
} else {
    "at their rate limits: ${joinToString { it.describe() }}"
}

private fun LimitSnapshot.describe(): String =
    "$id (limit $perSecond/s, ${ownPerSecond.rounded()}/s here)"

/** Rates of an instance are fractions of what targets name. */
private fun Double.rounded(): Double = Math.round(this * HUNDREDTHS) / HUNDREDTHS

private fun TargetSnapshot.describe(at: Instant): String {
    val limit = rateLimit?.let { ", limit $it/s" }.orEmpty()
    val known = report ?: return "$id ($own own, no report$limit)"
    val pace = known.pacePercent?.let { ", pace $it%" }.orEmpty()
    val age = formatMillis(known.observedAt, at)
    return "$id ($own own, ${known.inFlight} of ${known.slots} in flight$pace$limit, $age ago)"
}
