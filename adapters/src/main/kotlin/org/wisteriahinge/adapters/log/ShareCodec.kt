@file:OptIn(ExperimentalSerializationApi::class)

package org.wisteriahinge.adapters.log

import java.time.Instant
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.wisteriahinge.core.limits.ReadShares
import org.wisteriahinge.core.limits.ShareBatch
import org.wisteriahinge.core.limits.ShareEntry
import org.wisteriahinge.core.limits.ShareUnits
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.runtime.LogRecord

/** Version of [ShareBatchRecord] that this code writes and reads. */
public const val SHARE_RECORD_VERSION: Int = 1

/** A batch of share changes as a CBOR record of the stream `shares`. */
@Serializable
internal data class ShareBatchRecord(
    val version: Int,
    val appendId: String,
    val instance: String,
    val sequence: Long,
    val atMillis: Long,
    val readOffset: Long,
    val untilMillis: Long,
    val slotUntilMillis: Long,
    val shares: List<ShareRecord>,
    val slot: Int? = null,
    val freesSlot: Boolean = false
)

/**
 * The share of one customer's allowance that an instance wants, and the demand that it sees.
 *
 * Each list has three parts, in thousandths of the allowance: calls, concurrency and bytes.
 */
@Serializable
internal data class ShareRecord(val customer: String, val want: List<Int>, val demand: List<Int>)

/** Encodes and decodes records of the stream `shares`. */
public object ShareCodec {
    private val cbor = Cbor {
        useDefiniteLengthEncoding = true
        ignoreUnknownKeys = true
    }

    /** Encodes [batch] as CBOR. */
    public fun encode(batch: ShareBatch): ByteArray {
        val record = ShareBatchRecord(
            version = SHARE_RECORD_VERSION,
            appendId = batch.appendId,
            instance = batch.instance.value,
            sequence = batch.sequence,
            atMillis = batch.at.toEpochMilli(),
            readOffset = batch.readOffset,
            untilMillis = batch.until.toEpochMilli(),
            slotUntilMillis = batch.slotUntil.toEpochMilli(),
            shares = batch.entries.filterIsInstance<ShareEntry.Share>().map {
                ShareRecord(it.customer.value, it.want.toList(), it.demand.toList())
            },
            slot = batch.entries.filterIsInstance<ShareEntry.Slot>().firstOrNull()?.slot,
            freesSlot = ShareEntry.FreeSlot in batch.entries
        )
        return cbor.encodeToByteArray(ShareBatchRecord.serializer(), record)
    }

    /**
     * Decodes the batch in [record]. The result has no batch if the record is malformed or has
     * another version.
     */
    public fun decode(record: LogRecord): ReadShares = try {
        val decoded = cbor.decodeFromByteArray(ShareBatchRecord.serializer(), record.payload)
        ReadShares(record.offset, decoded.takeIf { it.version == SHARE_RECORD_VERSION }?.toBatch())
    } catch (_: SerializationException) {
        ReadShares(record.offset, null)
    } catch (_: IllegalArgumentException) {
        ReadShares(record.offset, null)
    }

    private fun ShareBatchRecord.toBatch(): ShareBatch {
        val changes = shares.map {
            ShareEntry.Share(CustomerId(it.customer), it.want.toGrants(), it.demand.toGrants())
        }
        val slots = listOfNotNull(
            slot?.let { ShareEntry.Slot(it) },
            ShareEntry.FreeSlot.takeIf { freesSlot }
        )
        return ShareBatch(
            appendId = appendId,
            instance = InstanceId(instance),
            sequence = sequence,
            at = Instant.ofEpochMilli(atMillis),
            readOffset = readOffset,
            until = Instant.ofEpochMilli(untilMillis),
            slotUntil = Instant.ofEpochMilli(slotUntilMillis),
            entries = (changes + slots).toPersistentList()
        )
    }

    private fun ShareUnits.toList(): List<Int> = listOf(calls, concurrency, bytes)

    private fun List<Int>.toGrants(): ShareUnits {
        require(size == 3 && all { it >= 0 }) { "expected three parts of at least 0, found $this" }
        return ShareUnits(this[0], this[1], this[2])
    }
}
