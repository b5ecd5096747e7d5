package org.wisteriahinge.adapters.relay

import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringDecoder
import java.io.Closeable
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.adapters.backend.IoLoop
import org.wisteriahinge.adapters.http.InternalAnswer
import org.wisteriahinge.adapters.http.InternalExchange
import org.wisteriahinge.adapters.http.InternalHttpServer
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.runtime.MirroredRecords

/** Longest wait that a follower can ask for. */
private const val MAX_WAIT_MILLIS = 10_000L

/** Serves what this instance reads of [topics] to other instances, by the topics' names. */
public class RelayServer(
    address: Address,
    private val topics: PersistentMap<String, () -> MirroredRecords>,
    private val loop: IoLoop
) : Closeable {
    private val server = InternalHttpServer(address, loop, ::serve)
    private var waiters: PersistentList<Waiter> = persistentListOf()

    /**
     * Starts listening and returns the port in use.
     *
     * @throws java.net.BindException if the address is in use.
     */
    public fun start(): Int = server.start()

    /** Something was read; may be called on any thread. */
    public fun changed() {
        loop.run {
            val ready = waiters.filter { it.isReady() }
            waiters = waiters.removeAll(ready)
            ready.forEach { it.answer() }
        }
    }

    private fun serve(exchange: InternalExchange) {
        val query = QueryStringDecoder(exchange.uri)
        topics.entries.forEach { (name, records) ->
            when (query.path()) {
                newestPath(name) -> return newest(exchange, records())
                changesPath(name) -> return changes(exchange, query, records)
            }
        }
        exchange.answer(InternalAnswer(HttpResponseStatus.NOT_FOUND))
    }

    private fun newest(exchange: InternalExchange, records: MirroredRecords) {
        val answer = if (records.isFollowing) {
            val page = encodePage(records.newest, records.nextOffset)
            InternalAnswer(HttpResponseStatus.OK, page)
        } else {
            InternalAnswer(HttpResponseStatus.SERVICE_UNAVAILABLE)
        }
        exchange.answer(answer)
    }

    private fun changes(
        exchange: InternalExchange,
        query: QueryStringDecoder,
        records: () -> MirroredRecords
    ) {
        val from = query.number("from")
        val waitMillis = query.number("wait_ms")?.coerceAtMost(MAX_WAIT_MILLIS)
        if (from == null || waitMillis == null) {
            return exchange.answer(InternalAnswer(HttpResponseStatus.BAD_REQUEST))
        }
        val waiter = Waiter(exchange, records, from)
        if (waiter.isReady()) return waiter.answer()
        waiters = waiters.add(waiter)
        waiter.startTimer(waitMillis)
    }

    private fun QueryStringDecoder.number(name: String): Long? =
        parameters()[name]?.singleOrNull()?.toLongOrNull()?.takeIf { it >= 0 }

    /** A follower that waits for records from [from] on. */
    private inner class Waiter(
        private val exchange: InternalExchange,
        private val records: () -> MirroredRecords,
        private val from: Long
    ) {
        private var timer: Future<*>? = null

        fun startTimer(waitMillis: Long) {
            timer = loop.executor.schedule(::waited, waitMillis, TimeUnit.MILLISECONDS)
        }

        private fun waited() {
            waiters = waiters.remove(this)
            answer()
        }

        fun isReady(): Boolean =
            records().let { !it.isFollowing || it.since(from)?.isEmpty() != true }

        fun answer() {
            timer?.cancel(false)
            val known = records()
            val since = known.since(from)
            val answer = when {
                !known.isFollowing -> InternalAnswer(HttpResponseStatus.SERVICE_UNAVAILABLE)
                since == null -> InternalAnswer(HttpResponseStatus.GONE)
                // A follower that read elsewhere may be ahead.
                else -> InternalAnswer(
                    HttpResponseStatus.OK,
                    encodePage(since, maxOf(known.nextOffset, from))
                )
            }
            exchange.answer(answer)
        }
    }

    override fun close() {
        server.close()
    }
}
