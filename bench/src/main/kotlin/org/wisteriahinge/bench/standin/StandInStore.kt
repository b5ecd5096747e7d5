package org.wisteriahinge.bench.standin

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.call
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.request.receive
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import java.io.ByteArrayOutputStream
import java.io.Closeable
import java.io.DataOutputStream
import java.nio.ByteBuffer
import java.time.Duration
import java.util.Base64
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long

/** A record of a topic; an empty [value] deletes the key. */
internal class StoredRecord(val offset: Long, val key: String, val value: ByteArray)

/**
 * A topic: the retained [records], which start at offset [first], the [newest] record of each key,
 * and the offset [end] of the next record.
 */
internal data class StoredTopic(
    val records: PersistentList<StoredRecord> = persistentListOf(),
    val newest: PersistentMap<String, StoredRecord> = persistentHashMapOf(),
    val first: Long = 0,
    val end: Long = 0
) {
    fun with(key: String, value: ByteArray): StoredTopic {
        val record = StoredRecord(end, key, value)
        return copy(
            records = records.add(record),
            newest = if (value.isEmpty()) newest.remove(key) else newest.put(key, record),
            end = end + 1
        )
    }
}

/** The topics of a [StandInStore] at one moment. */
public class StoreCopy internal constructor(internal val topics: PersistentMap<String, StoredTopic>)

/** What the readers at one port of a [StandInStore] see in place of the value of a record. */
public fun interface StoreView {
    public fun valueOf(topic: String, value: ByteArray): ByteArray
}

/** How a [StandInStore] treats the calls it gets; set with [StandInStore.behave]. */
public sealed interface StoreBehaviour {
    /** Every call is served at once. */
    public data object Up : StoreBehaviour

    /** Every call is refused with 503. */
    public data object Down : StoreBehaviour

    /** Every call is served after [delay]. */
    public data class Slow(val delay: Duration) : StoreBehaviour
}

private const val POLL_MILLIS = 10L
private const val NANOS_PER_MILLI = 1_000_000L
private const val PARTITIONS_PER_TOPIC = 12

/**
 * An in-memory HTTP server in place of the platform's store of keyed topics, for tests and
 * measurements. Implements only the calls that an instance makes; tests write with [put]. All joins
 * are for one group.
 */
public class StandInStore : Closeable {
    private val topics = AtomicReference<PersistentMap<String, StoredTopic>>(persistentHashMapOf())
    private val group = AtomicReference(StandInGroup())
    private val behaviour = AtomicReference<StoreBehaviour>(StoreBehaviour.Up)
    private val calls = AtomicInteger()
    private val era = AtomicLong()
    private val servers = AtomicReference(persistentListOf<EmbeddedServer<*, *>>())

    /** Number of calls received, refused ones included. */
    public val callCount: Int get() = calls.get()

    /**
     * Starts listening on a free loopback port, whose readers see values as [view] shows them, and
     * returns the port.
     */
    public fun start(view: StoreView = StoreView { _, value -> value }): Int {
        val server = embeddedServer(Netty, port = 0, host = "127.0.0.1") {
            routing {
                get("/api/log-newest") { withBehaviour(call) { newest(call, view) } }
                get("/api/log-read") { withBehaviour(call) { read(call, view) } }
                post("/api/log-append") { withBehaviour(call) { append(call) } }
                post("/api/log-join") { withBehaviour(call) { join(call) } }
                post("/api/log-leave") { withBehaviour(call) { leave(call) } }
            }
        }
        servers.updateAndGet { it.add(server) }
        server.start(wait = false)
        return runBlocking { server.engine.resolvedConnectors().first().port }
    }

    /** Replaces the behaviour for calls that arrive from now on. */
    public fun behave(next: StoreBehaviour) {
        behaviour.set(next)
    }

    /** Appends a record to [topic]; a null [value] deletes the key. */
    public fun put(topic: String, key: String, value: String?) {
        put(topic, key, value.orEmpty().encodeToByteArray())
    }

    private fun put(topic: String, key: String, value: ByteArray) {
        topics.updateAndGet { all ->
            all.put(topic, (all[topic] ?: StoredTopic()).with(key, value))
        }
    }

    /**
     * Drops all records of [topic] from the log, so that reads from older offsets get 410; the
     * newest record of each key stays available.
     */
    public fun forget(topic: String) {
        topics.updateAndGet { all ->
            val known = all[topic] ?: StoredTopic()
            all.put(topic, known.copy(records = persistentListOf(), first = known.end))
        }
    }

    /** Appends the newest records that [other] holds of [topic] and this store does not. */
    public fun putNewest(topic: String, other: StandInStore) {
        val known = topics.get()[topic]?.newest
        other.topics.get()[topic]?.newest?.values.orEmpty()
            .filterNot { known?.get(it.key)?.value.contentEquals(it.value) }
            .forEach { put(topic, it.key, it.value) }
    }

    /** A copy of all topics, to be restored later. */
    public fun copy(): StoreCopy = StoreCopy(topics.get())

    /** Comes back from an older [copy], so that all that was written since is gone. */
    public fun restore(copy: StoreCopy) {
        topics.set(copy.topics)
        era.incrementAndGet()
    }

    private suspend fun withBehaviour(call: ApplicationCall, serve: suspend () -> Unit) {
        calls.incrementAndGet()
        call.response.header("Store-Era", era.get().toString())
        when (val current = behaviour.get()) {
            StoreBehaviour.Up -> serve()
            StoreBehaviour.Down -> call.respond(HttpStatusCode.ServiceUnavailable)
            is StoreBehaviour.Slow -> {
                delay(current.delay.toMillis())
                serve()
            }
        }
    }

    private fun topicName(call: ApplicationCall): String =
        call.request.queryParameters["topic"].orEmpty()

    private fun topicOf(call: ApplicationCall): StoredTopic =
        topics.get()[topicName(call)] ?: StoredTopic()

    private suspend fun newest(call: ApplicationCall, view: StoreView) {
        val topic = topicOf(call)
        val items = topic.newest.values.joinToString(",") {
            val seen = view.valueOf(topicName(call), it.value)
            val value = Base64.getEncoder().encodeToString(seen)
            """{"key":"${it.key}","value":"$value","offset":${it.offset}}"""
        }
        call.respondText(
            """{"items":[$items],"hasMore":false,"end":${topic.end}}""",
            ContentType.Application.Json
        )
    }

    private fun isDown(): Boolean = behaviour.get() == StoreBehaviour.Down

    private suspend fun read(call: ApplicationCall, view: StoreView) {
        val from = call.request.queryParameters["from"]?.toLong() ?: 0
        val waitMillis = call.request.queryParameters["waitMs"]?.toLong() ?: 0
        val until = System.nanoTime() + Duration.ofMillis(waitMillis).toNanos()
        while (topicOf(call).end == from && System.nanoTime() < until && !isDown()) {
            delay(POLL_MILLIS)
        }
        if (isDown()) return call.respond(HttpStatusCode.ServiceUnavailable)
        val topic = topicOf(call)
        if (from !in topic.first..topic.end) {
            return call.respondText(
                """{"first":${topic.first}}""",
                ContentType.Application.Json,
                HttpStatusCode.Gone
            )
        }
        call.respondBytes(encode(topic, from) { view.valueOf(topicName(call), it) })
    }

    private suspend fun append(call: ApplicationCall) {
        val topic = call.request.queryParameters["topic"].orEmpty()
        val body = ByteBuffer.wrap(call.receive<ByteArray>())
        while (body.hasRemaining()) {
            val record = ByteArray(body.int).also { body.get(it) }
            val keyBytes = record[0].toInt()
            val key = record.copyOfRange(1, 1 + keyBytes).decodeToString()
            put(topic, key, record.copyOfRange(1 + keyBytes, record.size))
        }
        call.respondText("""{"end":${topicOf(call).end}}""", ContentType.Application.Json)
    }

    private suspend fun join(call: ApplicationCall) {
        val body = Json.parseToJsonElement(call.receiveText()).jsonObject
        val member = body.getValue("member").jsonPrimitive.content
        val topics = body.getValue("topics").jsonArray.map { it.jsonPrimitive.content }
        val joined = group.updateAndGet {
            it.joined(
                member,
                partitionsOf(topics),
                seen = body.getValue("generation").jsonPrimitive.long,
                nowMillis = System.nanoTime() / NANOS_PER_MILLI,
                termMillis = body.getValue("ttlMs").jsonPrimitive.long
            )
        }.answerTo(member)
        val rows = joined.held.joinToString(",") { "[\"${it.topic}\",${it.partition},0]" }
        call.respondText(
            """{"generation":${joined.generation},"parts":[$rows]}""",
            ContentType.Application.Json
        )
    }

    private fun partitionsOf(topics: List<String>): PersistentSet<TopicPartition> = topics
        .flatMap { topic -> List(PARTITIONS_PER_TOPIC) { TopicPartition(topic, it) } }
        .toPersistentSet()

    private suspend fun leave(call: ApplicationCall) {
        val body = Json.parseToJsonElement(call.receiveText()).jsonObject
        group.updateAndGet { it.left(body.getValue("member").jsonPrimitive.content) }
        call.respondText("{}", ContentType.Application.Json)
    }

    private fun encode(topic: StoredTopic, from: Long, view: (ByteArray) -> ByteArray): ByteArray {
        val bytes = ByteArrayOutputStream()
        val out = DataOutputStream(bytes)
        out.writeLong(topic.end)
        out.writeLong(topic.first)
        topic.records.filter { it.offset >= from }.forEach { record ->
            val key = record.key.encodeToByteArray()
            val value = view(record.value)
            out.writeInt(1 + key.size + value.size)
            out.writeByte(key.size)
            out.write(key)
            out.write(value)
        }
        return bytes.toByteArray()
    }

    override fun close() {
        servers.get().forEach { it.stop(gracePeriodMillis = 0, timeoutMillis = 500) }
    }
}
