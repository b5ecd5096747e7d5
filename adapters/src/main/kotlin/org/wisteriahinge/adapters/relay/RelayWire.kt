@file:OptIn(ExperimentalSerializationApi::class)

package org.wisteriahinge.adapters.relay

import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import org.wisteriahinge.runtime.KeyedRecord
import org.wisteriahinge.runtime.TopicRecords

/** A record between instances; a [value] of null removes the key. */
@Serializable
internal class WireTopicRecord(val key: String, val offset: Long, @ByteString val value: ByteArray?)

/** Records between instances; what follows them begins at [nextOffset]. */
@Serializable
internal class WireTopicPage(val records: List<WireTopicRecord>, val nextOffset: Long)

private val cbor = Cbor { ignoreUnknownKeys = true }

internal fun encodePage(records: Collection<KeyedRecord>, nextOffset: Long): ByteArray =
    cbor.encodeToByteArray(
        WireTopicPage.serializer(),
        WireTopicPage(records.map { WireTopicRecord(it.key, it.offset, it.value) }, nextOffset)
    )

/** @throws kotlinx.serialization.SerializationException if [bytes] are no page. */
internal fun decodePage(bytes: ByteArray): TopicRecords {
    val page = cbor.decodeFromByteArray(WireTopicPage.serializer(), bytes)
    val records = page.records.map { KeyedRecord(it.key, it.offset, it.value) }
    return TopicRecords(records.toPersistentList(), page.nextOffset)
}

/** Path of the newest records of [topic]. */
internal fun newestPath(topic: String): String = "/topics/$topic/newest"

/** Path of the changes of [topic]. */
internal fun changesPath(topic: String): String = "/topics/$topic/changes"
