package org.wisteriahinge.adapters.peer

import java.time.Instant
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.core.membership.PeerOutcome
import org.wisteriahinge.core.membership.PeerPhase
import org.wisteriahinge.core.membership.QuarantineNotice
import org.wisteriahinge.core.membership.RetainedAnswer
import org.wisteriahinge.core.membership.RetainedBody
import org.wisteriahinge.core.membership.TargetLoad
import org.wisteriahinge.core.membership.TargetNotice
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.OperationId
import org.wisteriahinge.core.model.OperationRef
import org.wisteriahinge.core.model.RequestDigest
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.Zone

/** Converts a message to its CBOR form. */
internal fun PeerMessage.toWire(): PeerWire = when (this) {
    is PeerMessage.Heartbeat -> HeartbeatWire(
        from = from.value,
        host = address.host,
        port = address.port,
        zone = zone.value,
        sequence = sequence,
        phase = phase.wireName,
        revision = revision.value,
        loads = loads.map { it.toWire() },
        quarantined = quarantined.map { it.toWire() }
    )
    is PeerMessage.Quarantine -> QuarantineMessageWire(from.value, notices.map { it.toWire() })
    is PeerMessage.OutcomeRequest -> OutcomeRequestWire(from.value, keyDigest)
    is PeerMessage.OutcomeReply -> OutcomeReplyWire(from.value, keyDigest, outcome.toWire())
    is PeerMessage.ConfigurationRequest -> ConfigurationRequestWire(from.value)
    is PeerMessage.ConfigurationReply -> ConfigurationReplyWire(
        from = from.value,
        revision = revision.value,
        offset = offset,
        customers = customers,
        entitlements = entitlements
    )
}

/**
 * Converts the CBOR form back to a message.
 *
 * @throws IllegalArgumentException if a field has a value that this version does not know.
 */
internal fun PeerWire.toMessage(): PeerMessage = when (this) {
    is HeartbeatWire -> toHeartbeat()
    is QuarantineMessageWire -> PeerMessage.Quarantine(
        from = InstanceId(from),
        notices = notices.map { it.toNotice() }.toPersistentList()
    )
    is OutcomeRequestWire -> PeerMessage.OutcomeRequest(InstanceId(from), keyDigest)
    is OutcomeReplyWire ->
        PeerMessage.OutcomeReply(InstanceId(from), keyDigest, outcome.toOutcome())
    is ConfigurationRequestWire -> PeerMessage.ConfigurationRequest(InstanceId(from))
    is ConfigurationReplyWire -> PeerMessage.ConfigurationReply(
        from = InstanceId(from),
        revision = RevisionNumber(revision),
        offset = offset,
        customers = customers,
        entitlements = entitlements
    )
}

private fun HeartbeatWire.toHeartbeat() = PeerMessage.Heartbeat(
    from = InstanceId(from),
    address = Address(host, port),
    zone = Zone(zone),
    sequence = sequence,
    phase = requireNotNull(PeerPhase.all.find { it.wireName == phase }) {
        "unknown phase '$phase' in a heartbeat"
    },
    revision = RevisionNumber(revision),
    loads = loads.map { it.toLoad() }.toPersistentList(),
    quarantined = quarantined.map { it.toNotice() }.toPersistentList()
)

private fun TargetLoad.toWire() =
    TargetLoadWire(target.value, inFlight, slots, ageMillis, notice.wireCode)

private fun TargetLoadWire.toLoad() = TargetLoad(
    TargetId(target),
    inFlight,
    slots,
    ageMillis,
    requireNotNull(TargetNotice.all.find { it.wireCode == notice }) {
        "unknown notice $notice of a target in a heartbeat"
    }
)

private fun QuarantineNotice.toWire() = QuarantineWire(
    customer = customer.value,
    service = operation.service.value,
    operation = operation.operation.value,
    digest = digest.value,
    crashes = crashes,
    untilEpochMillis = until.toEpochMilli()
)

private fun QuarantineWire.toNotice() = QuarantineNotice(
    customer = CustomerId(customer),
    operation = OperationRef(ServiceId(service), OperationId(operation)),
    digest = RequestDigest(digest),
    crashes = crashes,
    until = Instant.ofEpochMilli(untilEpochMillis)
)

private fun PeerOutcome.toWire(): OutcomeWire = when (this) {
    PeerOutcome.InProgress -> InProgressWire
    PeerOutcome.Unknown -> UnknownWire
    is PeerOutcome.Answered ->
        AnsweredWire(answer.status, answer.contentType, answer.body.toByteArray())
}

private fun OutcomeWire.toOutcome(): PeerOutcome = when (this) {
    InProgressWire -> PeerOutcome.InProgress
    UnknownWire -> PeerOutcome.Unknown
    is AnsweredWire ->
        PeerOutcome.Answered(RetainedAnswer(status, contentType, RetainedBody(body)))
}
