package org.wisteriahinge.adapters.backend

import java.io.ByteArrayOutputStream
import java.io.Closeable
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.model.Address

/** Time beyond a request's timeout for which [BackendClient.fetch] waits for its failure. */
private val REPORT_MARGIN: Duration = Duration.ofSeconds(2)

/**
 * Longest answer that [BackendClient.fetch] collects. A page of the store has at most a few MiB; a
 * server that sends more may never stop, and would exhaust the memory of this process.
 */
private const val MAX_FETCHED_BYTES = 16 * 1_024 * 1_024

/** HTTP client for requests to targets and to services of the platform. */
public class BackendClient(
    limits: ConnectionLimits,
    /** The I/O thread that serves the connections. */
    public val loop: IoLoop = IoLoop()
) : Closeable {
    private val connections = TargetConnections(loop, limits)

    /** Sends [request] to the server at [address] and notifies [observer] of the outcome. */
    public fun send(
        address: Address,
        request: BackendRequest,
        observer: AnswerObserver
    ): BackendExchange {
        val exchange = TargetExchange(address, request, observer)
        val started = loop.run {
            exchange.startTimer(loop.executor)
            connections.send(exchange)
        }
        if (!started) exchange.failed(AttemptFailure.NotSent, "the client is closed")
        return BackendExchange { loop.run(exchange::abandon) }
    }

    /**
     * Sends [request] and waits for the whole answer. Must not be called on the I/O thread.
     *
     * @throws AttemptFailedException if no complete answer arrived in time.
     */
    public fun fetch(address: Address, request: BackendRequest): FetchedAnswer {
        val collector = AnswerCollector()
        val exchange = send(address, request, collector)
        try {
            val limit = request.remaining + REPORT_MARGIN
            return collector.result.get(limit.toMillis(), TimeUnit.MILLISECONDS)
        } catch (e: ExecutionException) {
            throw e.cause as? AttemptFailedException ?: e
        } catch (_: TimeoutException) {
            throw AttemptFailedException(AttemptFailure.TimedOut, "no outcome was reported in time")
        } finally {
            exchange.abandon()
        }
    }

    override fun close() {
        connections.close()
        loop.close()
    }
}

/** Handle of a request that was sent. */
public fun interface BackendExchange {
    /** Ends the exchange; closes its connection unless the answer was read to its end. */
    public fun abandon()
}

/** An answer with its whole body. */
public class FetchedAnswer(public val head: BackendAnswer, public val body: ByteArray)

/** Collects an answer of up to [MAX_FETCHED_BYTES] in memory. */
private class AnswerCollector : AnswerObserver {
    val result = CompletableFuture<FetchedAnswer>()
    private val pieces = ByteArrayOutputStream()
    private var streamed: StreamedAnswer? = null

    override fun answered(answer: BackendAnswer) {
        when (val body = answer.body) {
            is AnswerBody.Absent -> result.complete(FetchedAnswer(answer, ByteArray(0)))
            is AnswerBody.Whole -> result.complete(FetchedAnswer(answer, body.bytes))
            is AnswerBody.Streamed -> {
                streamed = StreamedAnswer(answer, body.flow)
                body.flow.resume()
            }
        }
    }

    override fun received(piece: ByteArray) {
        if (pieces.size() + piece.size > MAX_FETCHED_BYTES) return refuseRest()
        pieces.write(piece)
    }

    private fun refuseRest() {
        streamed?.flow?.discard()
        pieces.reset()
        failed(AttemptFailure.InvalidAnswer, "the answer has more than $MAX_FETCHED_BYTES bytes")
    }

    override fun completed() {
        streamed?.let { result.complete(FetchedAnswer(it.head, pieces.toByteArray())) }
    }

    override fun truncated(detail: String) = failed(AttemptFailure.Truncated, detail)

    override fun failed(failure: AttemptFailure, detail: String) {
        result.completeExceptionally(AttemptFailedException(failure, detail))
    }
}

/** An answer whose body is still being received. */
private class StreamedAnswer(val head: BackendAnswer, val flow: AnswerFlow)
