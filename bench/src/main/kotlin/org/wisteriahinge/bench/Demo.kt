package org.wisteriahinge.bench

import com.github.f4b6a3.uuid.UuidCreator
import com.github.michaelbull.result.getOrThrow
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.statement.bodyAsText
import java.io.Closeable
import java.time.Clock
import java.time.Duration
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.wisteriahinge.adapters.caller.CredentialHasher
import org.wisteriahinge.adapters.log.HttpPlatformLog
import org.wisteriahinge.adapters.log.REVISION_RECORD_VERSION
import org.wisteriahinge.adapters.log.RevisionCodec
import org.wisteriahinge.adapters.log.RevisionRecord
import org.wisteriahinge.app.Instance
import org.wisteriahinge.app.InstanceSettings
import org.wisteriahinge.bench.standin.StandInLog
import org.wisteriahinge.bench.standin.StandInTarget
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.runtime.LogStream

private const val CREDENTIAL_KEY = "demo-key"
private const val SECRET = "demo-secret"
private const val SLOTS = 3
private const val REQUESTS = 30

/** Runs stand-ins and one instance in this process and sends requests through it. */
internal class Demo : Closeable {
    private val log = StandInLog()
    private val targets = (1..3).map { StandInTarget("lookup-$it", SLOTS) }.toPersistentList()

    fun run() {
        val logUrl = "http://127.0.0.1:${log.start()}"
        val ports = targets.map { it.start() }
        publish(logUrl, ports)
        val settings = InstanceSettings(
            Zone("zone-a"),
            "127.0.0.1",
            0,
            logUrl,
            CREDENTIAL_KEY,
            seed = 1
        )
        Instance(settings, Clock.systemUTC()).use { instance -> request(instance.start()) }
        targets.forEach { println("${it.name} served ${it.servedCount}") }
    }

    private fun publish(logUrl: String, ports: List<Int>) {
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
            |    calls_per_second: 100
            |    burst_calls: 200
            |    concurrent_calls: 20
            |    bytes_per_second: 1000000
            |    burst_bytes: 2000000
            |    operations: [results-lookup/get-result]
        """.trimMargin()
    }

    private fun request(port: Int) = runBlocking {
        HttpClient(CIO).use { client ->
            delay(1_000)
            repeat(REQUESTS) { number ->
                val answer = client.get("http://127.0.0.1:$port/results/$number") {
                    header("Authorization", "Bearer delta-1.$SECRET")
                }
                check(answer.status.value == 200) { answer.bodyAsText() }
            }
            val refused = client.get("http://127.0.0.1:$port/results/1")
            println("without credential: ${refused.status.value} ${refused.bodyAsText()}")
        }
    }

    override fun close() {
        targets.forEach { it.close() }
        log.close()
    }
}
