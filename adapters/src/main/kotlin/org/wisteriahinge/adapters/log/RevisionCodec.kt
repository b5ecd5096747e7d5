@file:OptIn(ExperimentalSerializationApi::class)

package org.wisteriahinge.adapters.log

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.wisteriahinge.core.configuration.ConfigurationRecord
import org.wisteriahinge.core.configuration.ListTexts
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
    /** Encodes [record] as CBOR. */
    public fun encode(record: RevisionRecord): ByteArray = Cbor.encodeToByteArray(record)

    /** Decodes [record]. The result has no revision if [decodeRecord] cannot read the payload. */
    public fun decode(record: LogRecord): ConfigurationRecord = ConfigurationRecord(
        record.offset,
        decodeRecord(record.payload)?.let {
            PublishedRevision(
                offset = record.offset,
                publicationId = it.publicationId,
                replaces = RevisionNumber(it.replaces),
                lists = ListTexts(it.customers, it.entitlements)
            )
        }
    )

    /** Decodes [payload]; null if it is malformed or has another version. */
    public fun decodeRecord(payload: ByteArray): RevisionRecord? = try {
        Cbor.decodeFromByteArray<RevisionRecord>(payload)
            .takeIf { it.version == REVISION_RECORD_VERSION && it.replaces >= 0 }
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
}
