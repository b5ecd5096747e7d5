package org.wisteriahinge.bench

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.model.Address
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue

private const val OK = 200
private const val TOO_MANY = 429
private const val UNAVAILABLE = 503
private const val REQUESTS = 60

/** Guards against quotas that instances do not share, or that stop a customer without one. */
class QuotaPathTest {
    private val client = HttpClient.newHttpClient()

    private val tenants = """"tenants":{"columns":["name","apiKeys","ratePerS","burst"],""" +
        """"rows":[["small",["key-of-small"],2,2],["free",["key-of-free"],null,null]]}"""

    private fun send(address: Address, key: String, id: Int): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI("http://$address/x/1"))
            .timeout(Duration.ofSeconds(10))
            .header("Authorization", "Bearer $key")
            .header("Wisteriahinge-Request-Id", "r-$id")
            .header("Wisteriahinge-Deadline-Ms", "2000")
            .build()
        return client.send(request, HttpResponse.BodyHandlers.ofString())
    }

    private fun deployment() = FrontDeployment().apply {
        store.put("keyed.op", "config", configuration(version = 3).dropLast(1) + ",$tenants}")
    }

    private fun awaitToken(deployment: FrontDeployment, front: RunningFront) {
        await("ready") { deployment.status(front.ready) == OK }
        await("token") { send(front.callers, "key-of-small", 0).statusCode() == OK }
    }

    @Test
    fun `two instances share a quota that a relay grants`(): Unit = deployment().use { deployment ->
        val relay = Address("127.0.0.1", freePort())
        val relays = persistentListOf(relay)
        val fronts = listOf(
            deployment.start(relays, relay, "front-1"),
            deployment.start(relays, name = "front-2")
        )
        try {
            fronts.forEach { awaitToken(deployment, it) }
            expectShared(
                (1..REQUESTS).map { send(fronts[it % 2].callers, "key-of-small", it) }
            )
            val free = (1..REQUESTS).map { send(fronts[it % 2].callers, "key-of-free", it) }
            expectThat(free.map { it.statusCode() }).all { isEqualTo(OK) }
        } finally {
            fronts.forEach { it.close() }
        }
    }

    private fun expectShared(answers: List<HttpResponse<String>>) {
        val refused = answers.filter { it.statusCode() != OK }
        expectThat(refused.map { it.statusCode() }).all {
            get { this == TOO_MANY || this == UNAVAILABLE }.isTrue()
        }
        val exceeded = refused.filter { it.statusCode() == TOO_MANY }
        expectThat(exceeded.size).isGreaterThan(0)
        expectThat(exceeded.first().body()).contains("quota_exceeded")
        expectThat(exceeded).all { get { headers().firstValue("Retry-After").isPresent }.isTrue() }
    }

    @Test
    fun `without its relay an instance refuses what it cannot check`(): Unit =
        deployment().use { deployment ->
            val gone = persistentListOf(Address("127.0.0.1", freePort()))
            deployment.start(gone, name = "front-1").use { front ->
                await("ready") { deployment.status(front.ready) == OK }
                val answer = send(front.callers, "key-of-small", 1)
                expectThat(answer.statusCode()).isEqualTo(UNAVAILABLE)
                expectThat(answer.body()).contains("quota_unavailable")
                val free = send(front.callers, "key-of-free", 2)
                expectThat(free.statusCode()).isEqualTo(OK)
            }
        }
}
