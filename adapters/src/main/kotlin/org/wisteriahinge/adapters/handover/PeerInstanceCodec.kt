@file:OptIn(ExperimentalSerializationApi::class)

package org.wisteriahinge.adapters.handover

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import org.wisteriahinge.core.handover.PeerInstance
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.runtime.KeyedRecord
import org.wisteriahinge.runtime.KeyedValue

private const val MAX_PORT = 65_535

/** What a record of the topic says of an instance. */
public sealed interface InstanceRecord {
    public val id: InstanceId

    /** It takes calls as [instance] says. */
    public data class Listed(val instance: PeerInstance) : InstanceRecord {
        override val id: InstanceId get() = instance.id
    }

    /** It has left. */
    public data class Removed(override val id: InstanceId) : InstanceRecord
}

/** CBOR form of a [PeerInstance], without its id, which is the key. */
@Serializable
private class WireInstance(val zone: String, val host: String, val port: Int, val token: String)

private val cbor = Cbor { ignoreUnknownKeys = true }

/** Encodes [instance] as a record under its id. */
public fun encodeInstance(instance: PeerInstance): KeyedValue {
    val address = instance.address
    val wire = WireInstance(instance.zone.value, address.host, address.port, instance.token)
    val value = cbor.encodeToByteArray(WireInstance.serializer(), wire)
    return KeyedValue(instance.id.value, value)
}

/**
 * Decodes what [encodeInstance] encoded, or its removal.
 *
 * @throws kotlinx.serialization.SerializationException if the record is malformed.
 * @throws IllegalArgumentException if its port is out of range.
 */
public fun decodeInstance(record: KeyedRecord): InstanceRecord {
    val id = InstanceId(record.key)
    val value = record.value ?: return InstanceRecord.Removed(id)
    val wire = cbor.decodeFromByteArray(WireInstance.serializer(), value)
    require(wire.port in 1..MAX_PORT) { "port ${wire.port} of instance $id is out of range" }
    val address = Address(wire.host, wire.port)
    return InstanceRecord.Listed(PeerInstance(id, Zone(wire.zone), address, wire.token))
}
