@file:OptIn(ExperimentalSerializationApi::class)

package org.wisteriahinge.adapters.log

import java.time.Instant
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.wisteriahinge.core.configuration.ListTexts
import org.wisteriahinge.core.configuration.RevisionCheckpoint
import org.wisteriahinge.core.configuration.SnapshotRecord
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.runtime.LogRecord

private const val SNAPSHOT_RECORD_VERSION = 1

@Serializable
private data class SnapshotWire(
    val version: Int,
    val number: Long,
    val configurationOffset: Long,
    val writtenAtEpochMillis: Long,
    val customers: String,
    val entitlements: String
)

/** Encodes and decodes records of the stream `configuration-snapshot`. */
public object SnapshotCodec {
    /** Encodes a snapshot of [checkpoint] as CBOR. */
    public fun encode(checkpoint: RevisionCheckpoint, writtenAt: Instant): ByteArray =
        Cbor.encodeToByteArray(
            SnapshotWire(
                version = SNAPSHOT_RECORD_VERSION,
                number = checkpoint.revision.value,
                configurationOffset = checkpoint.nextOffset,
                writtenAtEpochMillis = writtenAt.toEpochMilli(),
                customers = checkpoint.lists.customers,
                entitlements = checkpoint.lists.entitlements
            )
        )

    /** Decodes the snapshot in [record]; null if it is malformed or has another version. */
    public fun decode(record: LogRecord): SnapshotRecord? = try {
        Cbor.decodeFromByteArray<SnapshotWire>(record.payload)
            .takeIf { it.version == SNAPSHOT_RECORD_VERSION }
            ?.toSnapshot(record.offset)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }

    private fun SnapshotWire.toSnapshot(streamOffset: Long) = SnapshotRecord(
        streamOffset = streamOffset,
        writtenAt = Instant.ofEpochMilli(writtenAtEpochMillis),
        checkpoint = RevisionCheckpoint(
            RevisionNumber(number),
            configurationOffset,
            ListTexts(customers, entitlements)
        )
    )
}
