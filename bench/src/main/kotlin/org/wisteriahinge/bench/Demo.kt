package org.wisteriahinge.bench

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.statement.bodyAsText
import java.io.Closeable
import java.time.Clock
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.wisteriahinge.app.Instance
import org.wisteriahinge.bench.standin.StandInLog
import org.wisteriahinge.bench.standin.StandInTarget

private const val REQUESTS = 30

/** Runs stand-ins and one instance in this process and sends requests through it. */
internal class Demo : Closeable {
    private val log = StandInLog()
    private val targets = (1..3).map { StandInTarget("lookup-$it", SLOTS) }.toPersistentList()

    fun run() {
        val logUrl = "http://127.0.0.1:${log.start()}"
        val ports = targets.map { it.start() }
        publishLookup(logUrl, ports)
        Instance(settings(logUrl), Clock.systemUTC()).use { instance ->
            request(instance.start().caller)
        }
        targets.forEach { println("${it.name} served ${it.servedCount}") }
    }

    private fun request(port: Int) = runBlocking {
        HttpClient(CIO).use { client ->
            delay(1_000)
            repeat(REQUESTS) { number ->
                val answer = client.get("http://127.0.0.1:$port/results/$number") {
                    header("Authorization", AUTHORIZATION)
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
