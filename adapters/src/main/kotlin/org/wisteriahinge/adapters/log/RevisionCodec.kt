@file:OptIn(ExperimentalSerializationApi::class)

package org.wisteriahinge.adapters.log

import com.github.michaelbull.result.get
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.wisteriahinge.adapters.lists.ListTexts
import org.wisteriahinge.adapters.lists.readLists
import org.wisteriahinge.core.configuration.PublishedRevision
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.runtime.LogRecord

/** Version of [RevisionRecord] that this code writes and reads. */
public const val REVISION_RECORD_VERSION: Int = 1

/** A published revision as a CBOR record of the stream `configuration`. */
@Serializable
public data class RevisionRecord(
    val version: Int,
    val publicationId: String,
    val replaces: Long,
    val customers: String,
    val entitlements: String
)

/** Encodes and decodes records of the stream `configuration`. */
public object RevisionCodec {
    /** The record as CBOR. */
    public fun encode(record: RevisionRecord): ByteArray = Cbor.encodeToByteArray(record)

    /** The revision in [record]; null when the record is not one that this code reads. */
    public fun decode(record: LogRecord): PublishedRevision? {
        val decoded = decodeRecord(record.payload) ?: return null
        val replaces = RevisionNumber(decoded.replaces)
        val texts = ListTexts(decoded.customers, decoded.entitlements)
        return PublishedRevision(
            offset = record.offset,
            publicationId = decoded.publicationId,
            replaces = replaces,
            configuration = readLists(texts, RevisionNumber(replaces.value + 1)).get()
        )
    }

    /** The record in [payload]; null when it is malformed or of another version. */
    public fun decodeRecord(payload: ByteArray): RevisionRecord? = try {
        Cbor.decodeFromByteArray<RevisionRecord>(payload)
            .takeIf { it.version == REVISION_RECORD_VERSION }
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
}
