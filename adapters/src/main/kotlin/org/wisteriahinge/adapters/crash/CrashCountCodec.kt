@file:OptIn(ExperimentalSerializationApi::class)

package org.wisteriahinge.adapters.crash

import java.time.Duration
import java.time.Instant
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import org.wisteriahinge.core.crashreport.CrashCount
import org.wisteriahinge.core.crashreport.CrashCountKey
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.RequestDigest
import org.wisteriahinge.runtime.KeyedRecord
import org.wisteriahinge.runtime.KeyedValue

/**
 * Keys of the topic. The store keeps the newest record of a key for ever, so that a fixed number of
 * keys bounds the topic; two counts with the same key replace each other.
 */
private const val SLOTS = 2_048

/** Age from which a count is ignored: the length of a quarantine. */
private val MAX_AGE: Duration = Duration.ofMinutes(10)

private const val MAX_CRASHES = 1_000

/** CBOR form of a [CrashCount], which was written at [writtenAtMillis] since the Unix epoch. */
@Serializable
private class WireCrashCount(
    val digest: String,
    val instance: String,
    val crashes: Int,
    val writtenAtMillis: Long
)

private val cbor = Cbor { ignoreUnknownKeys = true }

/** Encodes [count] as a record that is written at [now]. */
public fun encodeCrashCount(count: CrashCount, now: Instant): KeyedValue {
    val key = count.key
    val wire =
        WireCrashCount(key.digest.value, key.instance.value, count.crashes, now.toEpochMilli())
    val slot = Math.floorMod("${key.digest} ${key.instance}".hashCode(), SLOTS)
    return KeyedValue("slot-$slot", cbor.encodeToByteArray(WireCrashCount.serializer(), wire))
}

/**
 * Decodes what [encodeCrashCount] encoded; null if the record is too old at [now], or has no value.
 *
 * @throws kotlinx.serialization.SerializationException if the record is malformed.
 */
public fun decodeCrashCount(record: KeyedRecord, now: Instant): CrashCount? {
    val value = record.value ?: return null
    val wire = cbor.decodeFromByteArray(WireCrashCount.serializer(), value)
    if (wire.writtenAtMillis < (now - MAX_AGE).toEpochMilli()) return null
    val key = CrashCountKey(RequestDigest(wire.digest), InstanceId(wire.instance))
    return CrashCount(key, wire.crashes.coerceIn(0, MAX_CRASHES))
}
