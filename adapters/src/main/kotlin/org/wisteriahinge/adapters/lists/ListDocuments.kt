package org.wisteriahinge.adapters.lists

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Version of the format of the list files that this code reads. */
internal const val LIST_FORMAT = 1

/** Content of [CUSTOMERS_FILE]. */
@Serializable
internal data class CustomersDocument(val format: Int, val customers: List<CustomerEntry>)

@Serializable
internal data class CustomerEntry(
    val name: String,
    val plan: String,
    val standing: StandingEntry = StandingEntry.Active,
    val credentials: List<CredentialEntry>
)

@Serializable
internal data class CredentialEntry(
    val id: String,
    @SerialName("keyed_hash") val keyedHash: String,
    val standing: StandingEntry = StandingEntry.Active
)

@Serializable
internal enum class StandingEntry {
    @SerialName("active")
    Active,

    @SerialName("revoked")
    Revoked
}

/** Content of [ENTITLEMENTS_FILE]. */
@Serializable
internal data class EntitlementsDocument(
    val format: Int,
    val services: List<ServiceEntry>,
    val plans: List<PlanEntry>,
    val routes: List<RouteEntry> = emptyList()
)

@Serializable
internal data class ServiceEntry(
    val name: String,
    val targets: List<TargetEntry>,
    val operations: List<OperationEntry>,
    @SerialName("probe_path") val probePath: String = "/load"
)

@Serializable
internal data class TargetEntry(
    val name: String,
    val zone: String,
    val address: String,
    val slots: Int
)

@Serializable
internal data class OperationEntry(
    val name: String,
    val method: String,
    val path: String,
    val repeatable: Boolean,
    val duration: DurationEntry
)

@Serializable
internal enum class DurationEntry {
    @SerialName("short")
    Short,

    @SerialName("long")
    Long
}

@Serializable
internal data class PlanEntry(
    val name: String,
    @SerialName("calls_per_second") val callsPerSecond: Double,
    @SerialName("burst_calls") val burstCalls: Int,
    @SerialName("concurrent_calls") val concurrentCalls: Int,
    @SerialName("bytes_per_second") val bytesPerSecond: Long,
    @SerialName("burst_bytes") val burstBytes: Long,
    val weight: Int = 1,
    val operations: List<String>
)

@Serializable
internal data class RouteEntry(
    val name: String,
    val host: String,
    @SerialName("path_prefix") val pathPrefix: String,
    val repeatable: Boolean,
    val backends: List<BackendEntry>,
    @SerialName("max_targets") val maxTargets: Int? = null,
    @SerialName("timeout_ms") val timeoutMillis: Long? = null,
    @SerialName("objective_ms") val objectiveMillis: Long? = null,
    val priority: Int = 0
)

@Serializable
internal data class BackendEntry(val service: String, val weight: Int = 1)
