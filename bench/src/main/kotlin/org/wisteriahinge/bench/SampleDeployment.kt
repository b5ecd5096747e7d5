package org.wisteriahinge.bench

import com.github.f4b6a3.uuid.UuidCreator
import com.github.michaelbull.result.getOrThrow
import java.time.Duration
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.adapters.caller.CredentialHasher
import org.wisteriahinge.adapters.log.HttpPlatformLog
import org.wisteriahinge.adapters.log.REVISION_RECORD_VERSION
import org.wisteriahinge.adapters.log.RevisionCodec
import org.wisteriahinge.adapters.log.RevisionRecord
import org.wisteriahinge.app.CallSettings
import org.wisteriahinge.app.InstanceSettings
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.runtime.LogStream

internal const val CREDENTIAL_KEY = "sample-credential-key"
internal const val SECRET = "sample-secret"
internal const val AUTHORIZATION = "Bearer delta-1.$SECRET"

/** Slots of each stand-in target, as in both deployments. */
internal const val SLOTS = 3

/** Settings of an instance on free ports of this machine. */
internal fun settings(logUrl: String, callerPort: Int = 0, connections: Int = 13) =
    InstanceSettings(
        zone = Zone("zone-a"),
        callerHost = "127.0.0.1",
        callerPort = callerPort,
        logUrl = logUrl,
        credentialKey = CREDENTIAL_KEY,
        seed = 1,
        calls = CallSettings(maxConnectionsPerTarget = connections)
    )

/** Publishes lists with one customer and a lookup service on [ports]. */
internal fun publishLookup(logUrl: String, ports: List<Int>) {
    val record = RevisionRecord(
        version = REVISION_RECORD_VERSION,
        publicationId = UuidCreator.getTimeOrderedEpoch().toString(),
        replaces = 0,
        customers = customersYaml(),
        entitlements = entitlementsYaml(ports)
    )
    HttpPlatformLog(logUrl, Duration.ofSeconds(5)).use { client ->
        client.append(
            LogStream.Configuration,
            record.publicationId,
            persistentListOf(RevisionCodec.encode(record))
        ).getOrThrow { IllegalStateException(it.message) }
    }
}

private fun customersYaml() = """
    format: 1
    customers:
      - name: delta-utility
        plan: standard
        credentials:
          - id: delta-1
            keyed_hash: ${CredentialHasher(CREDENTIAL_KEY.encodeToByteArray()).hash(SECRET)}
""".trimIndent()

private fun entitlementsYaml(ports: List<Int>): String {
    val targetLines = ports.mapIndexed { index, port ->
        "      - { name: lookup-${index + 1}, zone: zone-a, " +
            "address: '127.0.0.1:$port', slots: $SLOTS }"
    }.joinToString("\n")
    return """
        |format: 1
        |services:
        |  - name: results-lookup
        |    targets:
        |$targetLines
        |    operations:
        |      - name: get-result
        |        method: GET
        |        path: /results/{id}
        |        repeatable: true
        |        duration: short
        |plans:
        |  - name: standard
        |    calls_per_second: 100000
        |    burst_calls: 200000
        |    concurrent_calls: 1000
        |    bytes_per_second: 1000000000
        |    burst_bytes: 2000000000
        |    operations: [results-lookup/get-result]
    """.trimMargin()
}
