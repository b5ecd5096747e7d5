package org.wisteriahinge.bench.demo

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.CompletableFuture
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

private val TIMEOUT: Duration = Duration.ofSeconds(15)

/** An answer as a caller sees it; [reason] is the refusal's name, null for a target's answer. */
internal data class Answer(val status: Int, val body: String, val reason: String?)

/** Sends requests as callers do. */
internal class DemoCaller {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    fun lookup(to: RunningInstance, customer: DemoCustomer?, id: Int): Answer =
        lookupLater(to, customer, id).join()

    fun lookupLater(
        to: RunningInstance,
        customer: DemoCustomer?,
        id: Int
    ): CompletableFuture<Answer> = send(request(to, "/results/$id", customer).GET())

    fun book(to: RunningInstance, customer: DemoCustomer, key: String?): Answer {
        val request = request(to, "/bookings", customer)
            .POST(HttpRequest.BodyPublishers.ofString("visit to transformer 17"))
        key?.let { request.header("Idempotency-Key", it) }
        return send(request).join()
    }

    /** Reads [path] from the admin address. */
    fun admin(of: RunningInstance, path: String): Answer {
        val uri = URI("http://127.0.0.1:${of.ports.admin}$path")
        return send(HttpRequest.newBuilder(uri).timeout(TIMEOUT).GET()).join()
    }

    private fun request(
        to: RunningInstance,
        path: String,
        customer: DemoCustomer?
    ): HttpRequest.Builder {
        val request = HttpRequest.newBuilder(URI("http://127.0.0.1:${to.ports.caller}$path"))
        customer?.let { request.header("Authorization", it.authorization) }
        return request.timeout(TIMEOUT)
    }

    private fun send(request: HttpRequest.Builder): CompletableFuture<Answer> =
        client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
            .thenApply { Answer(it.statusCode(), it.body(), reasonOf(it)) }

    private fun reasonOf(answer: HttpResponse<String>): String? {
        val type = answer.headers().firstValue("content-type").orElse("")
        if (!type.startsWith("application/problem+json")) return null
        val document = Json.parseToJsonElement(answer.body()).jsonObject
        return document.getValue("type").jsonPrimitive.content.substringAfterLast(':')
    }
}
