@file:OptIn(ExperimentalSerializationApi::class)

package org.wisteriahinge.adapters.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * CBOR form of a message between instances. Integer labels instead of property names keep
 * heartbeats within their traffic budget.
 */
@Serializable
internal sealed interface PeerWire

@Serializable
@SerialName("h")
internal class HeartbeatWire(
    @CborLabel(1) val from: String,
    @CborLabel(2) val host: String,
    @CborLabel(3) val port: Int,
    @CborLabel(4) val zone: String,
    @CborLabel(5) val sequence: Long,
    @CborLabel(6) val phase: String,
    @CborLabel(7) val revision: Long,
    @CborLabel(8) val loads: List<TargetLoadWire>,
    @CborLabel(9) val quarantined: List<QuarantineWire>
) : PeerWire

@Serializable
internal class TargetLoadWire(
    @CborLabel(1) val target: String,
    @CborLabel(2) val inFlight: Int,
    @CborLabel(3) val slots: Int,
    @CborLabel(4) val ageMillis: Long,
    @CborLabel(5) val notice: Int = 0
)

@Serializable
internal class QuarantineWire(
    @CborLabel(1) val customer: String,
    @CborLabel(2) val service: String,
    @CborLabel(3) val operation: String,
    @CborLabel(4) val digest: String,
    @CborLabel(5) val crashes: Int,
    @CborLabel(6) val untilEpochMillis: Long
)

@Serializable
@SerialName("q")
internal class QuarantineMessageWire(
    @CborLabel(1) val from: String,
    @CborLabel(2) val notices: List<QuarantineWire>
) : PeerWire

@Serializable
@SerialName("o")
internal class OutcomeRequestWire(
    @CborLabel(1) val from: String,
    @CborLabel(2) val keyDigest: String
) : PeerWire

@Serializable
@SerialName("O")
internal class OutcomeReplyWire(
    @CborLabel(1) val from: String,
    @CborLabel(2) val keyDigest: String,
    @CborLabel(3) val outcome: OutcomeWire
) : PeerWire

@Serializable
internal sealed interface OutcomeWire

@Serializable
@SerialName("p")
internal data object InProgressWire : OutcomeWire

@Serializable
@SerialName("u")
internal data object UnknownWire : OutcomeWire

@Serializable
@SerialName("a")
internal class AnsweredWire(
    @CborLabel(1) val status: Int,
    @CborLabel(2) val contentType: String?,
    @CborLabel(3) val body: ByteArray
) : OutcomeWire

@Serializable
@SerialName("c")
internal class ConfigurationRequestWire(@CborLabel(1) val from: String) : PeerWire

@Serializable
@SerialName("C")
internal class ConfigurationReplyWire(
    @CborLabel(1) val from: String,
    @CborLabel(2) val revision: Long,
    @CborLabel(3) val offset: Long,
    @CborLabel(4) val customers: String,
    @CborLabel(5) val entitlements: String
) : PeerWire
