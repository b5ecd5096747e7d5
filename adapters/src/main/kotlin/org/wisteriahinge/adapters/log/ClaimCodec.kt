@file:OptIn(ExperimentalSerializationApi::class)

package org.wisteriahinge.adapters.log

import java.time.Instant
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborLabel
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.once.ClaimBatch
import org.wisteriahinge.core.once.ClaimEntry
import org.wisteriahinge.core.once.ClaimId
import org.wisteriahinge.core.once.Fingerprint
import org.wisteriahinge.core.once.KeyDigest
import org.wisteriahinge.core.once.ReadBatch
import org.wisteriahinge.runtime.LogRecord

/** Version of [ClaimBatchRecord] that this code writes and reads. */
public const val CLAIM_RECORD_VERSION: Int = 1

private const val VERSION = 1L
private const val APPEND_ID = 2L
private const val INSTANCE = 3L
private const val READ_OFFSET = 4L
private const val READ_AT = 5L
private const val ENTRIES = 6L
private const val SEQUENCE = 2L
private const val KEY = 3L
private const val KEY_TIME = 4L
private const val FINGERPRINT = 5L
private const val RELEASE = 1L

/** A batch of claims and releases as a CBOR record of the stream `claims`. */
@Serializable
internal data class ClaimBatchRecord(
    @CborLabel(VERSION) val version: Int,
    @CborLabel(APPEND_ID) val appendId: String,
    @CborLabel(INSTANCE) val instance: String,
    @CborLabel(READ_OFFSET) val readOffset: Long,
    @CborLabel(READ_AT) val readAtMillis: Long,
    @CborLabel(ENTRIES) val entries: List<ClaimEntryRecord>
)

/** A claim, or a release with neither a key time nor a fingerprint. */
@Serializable
internal data class ClaimEntryRecord(
    @CborLabel(RELEASE) val release: Boolean,
    @CborLabel(SEQUENCE) val sequence: Long,
    @CborLabel(KEY) val key: String,
    @CborLabel(KEY_TIME) val keyTimeMillis: Long = 0,
    @CborLabel(FINGERPRINT) val fingerprint: String = ""
)

/** Encodes and decodes records of the stream `claims`. */
public object ClaimCodec {
    private val cbor = Cbor {
        preferCborLabelsOverNames = true
        useDefiniteLengthEncoding = true
        ignoreUnknownKeys = true
    }

    /** Encodes [batch] as CBOR. All its entries must belong to [instance]. */
    public fun encode(instance: InstanceId, batch: ClaimBatch): ByteArray {
        val record = ClaimBatchRecord(
            version = CLAIM_RECORD_VERSION,
            appendId = batch.appendId,
            instance = instance.value,
            readOffset = batch.readOffset,
            // Rounded up, because readers use it as an upper bound of the time at which the
            // records before readOffset were appended.
            readAtMillis = batch.readAt.toEpochMilli() + 1,
            entries = batch.entries.map(::toRecord)
        )
        return cbor.encodeToByteArray(ClaimBatchRecord.serializer(), record)
    }

    /**
     * Decodes the batch in [record]. The result has no batch if the record is malformed or has
     * another version.
     */
    public fun decode(record: LogRecord): ReadBatch = try {
        val decoded = cbor.decodeFromByteArray(ClaimBatchRecord.serializer(), record.payload)
        ReadBatch(record.offset, decoded.takeIf { it.version == CLAIM_RECORD_VERSION }?.toBatch())
    } catch (_: SerializationException) {
        ReadBatch(record.offset, null)
    } catch (_: IllegalArgumentException) {
        ReadBatch(record.offset, null)
    }

    private fun toRecord(entry: ClaimEntry): ClaimEntryRecord = when (entry) {
        is ClaimEntry.Claim -> ClaimEntryRecord(
            release = false,
            sequence = entry.id.sequence,
            key = entry.key.value,
            keyTimeMillis = entry.keyTime.toEpochMilli(),
            fingerprint = entry.fingerprint.value
        )
        is ClaimEntry.Release ->
            ClaimEntryRecord(release = true, sequence = entry.id.sequence, key = entry.key.value)
    }

    private fun ClaimBatchRecord.toBatch() = ClaimBatch(
        appendId = appendId,
        readOffset = readOffset,
        readAt = Instant.ofEpochMilli(readAtMillis),
        entries = entries.map { it.toEntry(InstanceId(instance)) }.toPersistentList()
    )

    private fun ClaimEntryRecord.toEntry(instance: InstanceId): ClaimEntry {
        val id = ClaimId(instance, sequence)
        val digest = KeyDigest(key)
        return if (release) {
            ClaimEntry.Release(id, digest)
        } else {
            val time = Instant.ofEpochMilli(keyTimeMillis)
            ClaimEntry.Claim(id, digest, time, Fingerprint(fingerprint))
        }
    }
}
