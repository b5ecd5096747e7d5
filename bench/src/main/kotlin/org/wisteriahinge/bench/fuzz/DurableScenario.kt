package org.wisteriahinge.bench.fuzz

import java.time.Duration
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.wisteriahinge.core.model.Execution

private const val FAULT_RUNS = 25
private const val STEPS_PER_RUN = 400
private const val HEALTHY_SECONDS = 20
private const val OUTAGE_SECONDS = 40
private const val P99 = 0.99
private val SETTLE: Duration = Duration.ofSeconds(45)

/** Result of `at-most-once`. Latency and append rate are those of the part without faults. */
@Serializable
internal data class AtMostOnceResult(
    val scenario: String,
    val seed: Long,
    val requests: Int,
    val doubled: Int,
    @SerialName("false_not_run") val falseNotRun: Int,
    @SerialName("added_p50_ms") val addedP50Millis: Double,
    @SerialName("added_p99_ms") val addedP99Millis: Double,
    @SerialName("appends_per_s") val appendsPerSecond: Double
)

/** Result of `log-outage`: what callers of at-most-once work were told while the log was down. */
@Serializable
internal data class LogOutageResult(
    val scenario: String,
    val seed: Long,
    @SerialName("repeatable_goodput_ratio") val repeatableGoodput: Double,
    @SerialName("once_only_refused_not_run") val refusedNotRun: Int,
    @SerialName("once_only_unknown") val unknown: Int,
    val doubled: Int
)

/** Claims under faults, and their latency without; a line of JSON. */
internal fun atMostOnce(seed: Long): String {
    val healthy = load(benchWorld(seed), HEALTHY_SECONDS, mixedLoad)
    val waits = healthy.oracle.claimWaitsMillis()
    val faulty = (0 until FAULT_RUNS).map { fuzz(seed * 100 + it, STEPS_PER_RUN).world.oracle }
    val all = faulty + healthy.oracle
    return Json.encodeToString(
        AtMostOnceResult(
            scenario = "at-most-once",
            seed = seed,
            requests = all.sumOf { it.requests.size },
            doubled = all.sumOf { oracle -> oracle.runs.values.count { it > 1 } },
            falseNotRun = all.sumOf { it.falseNotRunCount() },
            addedP50Millis = waits.at(0.5),
            addedP99Millis = waits.at(P99),
            appendsPerSecond = healthy.claims.records.size / HEALTHY_SECONDS.toDouble()
        )
    )
}

/** At-most-once and repeatable work while the log is down; a line of JSON. */
internal fun logOutage(seed: Long): String {
    val before = load(benchWorld(seed), 2, mixedLoad)
    val down = load(before.copy(logMode = LogMode.Down), OUTAGE_SECONDS, mixedLoad).advance(SETTLE)
    val oracle = down.oracle
    val during = oracle.requests.keys - before.oracle.requests.keys
    val repeatable = during.filter { oracle.requests.getValue(it).isRepeatable }
    val once = during - repeatable.toSet()
    val refusals = once.mapNotNull { (oracle.told[it] as? Told.Refused)?.refusal }
    return Json.encodeToString(
        LogOutageResult(
            scenario = "log-outage",
            seed = seed,
            repeatableGoodput =
            repeatable.count { oracle.told[it] is Told.Answer } / repeatable.size.toDouble(),
            refusedNotRun = refusals.count { it.execution == Execution.NotRun },
            unknown = refusals.count { it.execution != Execution.NotRun },
            doubled = oracle.runs.values.count { it > 1 }
        )
    )
}
