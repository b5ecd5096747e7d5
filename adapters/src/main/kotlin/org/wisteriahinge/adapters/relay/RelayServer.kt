package org.wisteriahinge.adapters.relay

import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringDecoder
import java.io.Closeable
import java.time.Clock
import java.time.Duration
import java.time.Instant
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.adapters.backend.IoLoop
import org.wisteriahinge.adapters.clients.ClientRegistry
import org.wisteriahinge.adapters.http.InternalAnswer
import org.wisteriahinge.adapters.http.InternalClients
import org.wisteriahinge.adapters.http.InternalExchange
import org.wisteriahinge.adapters.http.InternalHttpServer
import org.wisteriahinge.adapters.quota.QUOTA_PATH
import org.wisteriahinge.adapters.quota.QuotaEndpoint
import org.wisteriahinge.core.clients.ClientAddress
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.watch.TopicPosition
import org.wisteriahinge.runtime.MirroredRecords

/** Longest time that a request for changes may wait for records. */
private const val MAX_WAIT_MILLIS = 10_000L

/** Records that a [RelayServer] serves while they are not older than [maxAge]. */
public class ServedTopic(public val maxAge: Duration, public val records: () -> MirroredRecords)

/**
 * HTTP server from which other instances read the [topics] that this instance follows, so that not
 * every instance reads them from the platform.
 *
 * [topics] maps the name of each topic to its current records. A request for changes waits until
 * the topic was read again, which makes the records younger, or its time is up (long polling). An
 * answer tells how old the records are, and records that are too old are not served. It passes
 * questions for tokens of customers' quotas to [quotas]; null if it grants none. All state is
 * confined to [loop].
 */
public class RelayServer(
    address: Address,
    private val topics: PersistentMap<String, ServedTopic>,
    private val loop: IoLoop,
    private val clock: Clock,
    clients: ClientRegistry,
    private val quotas: QuotaEndpoint? = null
) : Closeable {
    private val server = InternalHttpServer(
        address,
        loop,
        InternalClients(clients, ClientAddress.Relay),
        ::serve
    )
    private var pendingReads: PersistentList<PendingRead> = persistentListOf()

    /**
     * Starts listening and returns the port in use.
     *
     * @throws java.net.BindException if the address is in use.
     */
    public fun start(): Int = server.start()

    /**
     * Answers the pending requests for the topic [name]. To be called after each read of it; safe
     * to call from any thread.
     */
    public fun onRead(name: String) {
        loop.run {
            val ready = pendingReads.filter { it.name == name }
            pendingReads = pendingReads.removeAll(ready)
            ready.forEach { it.answer() }
        }
    }

    private fun serve(exchange: InternalExchange) {
        val query = QueryStringDecoder(exchange.uri)
        if (quotas != null && query.path() == QUOTA_PATH) {
            quotas.answer(exchange)
        } else {
            serveTopic(exchange, query)
        }
    }

    private fun serveTopic(exchange: InternalExchange, query: QueryStringDecoder) {
        val arrivedAt = clock.instant()
        topics.entries.forEach { (name, topic) ->
            when (query.path()) {
                newestPath(name) -> return answerNewest(exchange, topic, arrivedAt)
                changesPath(name) -> {
                    val from = query.position(topic) ?: return exchange.answerBadRequest()
                    val wait = query.waitMillis() ?: return exchange.answerBadRequest()
                    return awaitChanges(PendingRead(name, topic, exchange, from, arrivedAt), wait)
                }
            }
        }
        exchange.answer(InternalAnswer(HttpResponseStatus.NOT_FOUND))
    }

    private fun answerNewest(exchange: InternalExchange, topic: ServedTopic, arrivedAt: Instant) {
        val records = topic.records()
        val answer = if (records.isCurrent(clock.instant(), topic.maxAge)) {
            val page = RelayedPage(records.newest, records.next, records.ageMillis(arrivedAt))
            InternalAnswer(HttpResponseStatus.OK, encodePage(page))
        } else {
            InternalAnswer(HttpResponseStatus.SERVICE_UNAVAILABLE)
        }
        exchange.answer(answer)
    }

    private fun awaitChanges(read: PendingRead, waitMillis: Long) {
        if (read.isReady()) return read.answer()
        pendingReads = pendingReads.add(read)
        read.startTimeout(waitMillis)
    }

    private fun InternalExchange.answerBadRequest() =
        answer(InternalAnswer(HttpResponseStatus.BAD_REQUEST))

    private fun QueryStringDecoder.position(topic: ServedTopic): TopicPosition? {
        // Instances of versions before eras name none.
        val era = nonNegativeLong("era") ?: topic.records().next.era
        return nonNegativeLong("from")?.let { TopicPosition(era, it) }
    }

    private fun QueryStringDecoder.waitMillis(): Long? =
        nonNegativeLong("wait_ms")?.coerceAtMost(MAX_WAIT_MILLIS)

    private fun QueryStringDecoder.nonNegativeLong(name: String): Long? =
        parameters()[name]?.singleOrNull()?.toLongOrNull()?.takeIf { it >= 0 }

    /** A request for changes of the topic [name] from [from] on, which [arrivedAt] this moment. */
    private inner class PendingRead(
        val name: String,
        private val topic: ServedTopic,
        private val exchange: InternalExchange,
        private val from: TopicPosition,
        private val arrivedAt: Instant
    ) {
        private var timer: Future<*>? = null

        fun startTimeout(waitMillis: Long) {
            timer = loop.executor.schedule(::onTimeout, waitMillis, TimeUnit.MILLISECONDS)
        }

        private fun onTimeout() {
            pendingReads = pendingReads.remove(this)
            answer()
        }

        fun isReady(): Boolean = topic.records().let {
            !it.isCurrent(clock.instant(), topic.maxAge) || it.since(from)?.isEmpty() != true
        }

        fun answer() {
            timer?.cancel(false)
            exchange.answer(answerFrom(topic.records()))
        }

        private fun answerFrom(known: MirroredRecords): InternalAnswer {
            val since = known.since(from)
            return when {
                !known.isCurrent(clock.instant(), topic.maxAge) ->
                    InternalAnswer(HttpResponseStatus.SERVICE_UNAVAILABLE)
                since == null -> InternalAnswer(HttpResponseStatus.GONE)
                else -> {
                    // The reader may be ahead of this instance, if it read elsewhere before.
                    val next = maxOf(known.next, from)
                    val page = RelayedPage(since, next, known.ageMillis(arrivedAt))
                    InternalAnswer(HttpResponseStatus.OK, encodePage(page))
                }
            }
        }
    }

    override fun close() {
        server.close()
    }
}

/** The age at [moment], rounded up so that records never seem more current than they are. */
private fun MirroredRecords.ageMillis(moment: Instant): Long? =
    currentAsOf?.let { Duration.between(it, moment).toMillis() + 1 }
