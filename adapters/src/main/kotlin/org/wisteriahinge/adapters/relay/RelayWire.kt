@file:OptIn(ExperimentalSerializationApi::class)

package org.wisteriahinge.adapters.relay

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import org.wisteriahinge.core.watch.TopicPosition
import org.wisteriahinge.runtime.KeyedRecord

/** CBOR form of a record of a topic. A [value] of null means that the key was removed. */
@Serializable
internal class WireTopicRecord(val key: String, val offset: Long, @ByteString val value: ByteArray?)

/**
 * CBOR form of an answer: [records] of the [era], and the offset from which to read on.
 *
 * [ageMillis] is how long before the arrival of the request the moment lies as of which the records
 * are current; negative if they were read from the topic after that. An age holds whatever the
 * clocks of both instances show. Relays of versions before ages send none.
 */
@Serializable
internal class WireTopicPage(
    val records: List<WireTopicRecord>,
    val nextOffset: Long,
    val era: Long = 0,
    val ageMillis: Long? = null
)

private val cbor = Cbor { ignoreUnknownKeys = true }

/** A page of a topic and its age when it was requested, in whole milliseconds. */
internal class RelayedPage(
    val records: Collection<KeyedRecord>,
    val next: TopicPosition,
    val ageMillis: Long?
)

/** Encodes [page] as CBOR. */
internal fun encodePage(page: RelayedPage): ByteArray {
    val records = page.records.map { WireTopicRecord(it.key, it.position.offset, it.value) }
    val wirePage = WireTopicPage(records, page.next.offset, page.next.era, page.ageMillis)
    return cbor.encodeToByteArray(WireTopicPage.serializer(), wirePage)
}

/**
 * Decodes what [encodePage] encoded.
 *
 * @throws kotlinx.serialization.SerializationException if [bytes] are malformed.
 */
internal fun decodePage(bytes: ByteArray): RelayedPage {
    val page = cbor.decodeFromByteArray(WireTopicPage.serializer(), bytes)
    val records = page.records.map {
        KeyedRecord(it.key, TopicPosition(page.era, it.offset), it.value)
    }
    return RelayedPage(records, TopicPosition(page.era, page.nextOffset), page.ageMillis)
}

/** Path at which a relay serves the newest record of each key of [topic]. */
internal fun newestPath(topic: String): String = "/topics/$topic/newest"

/** Path at which a relay serves the records of [topic] from a position on. */
internal fun changesPath(topic: String): String = "/topics/$topic/changes"
