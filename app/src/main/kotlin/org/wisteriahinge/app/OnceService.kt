package org.wisteriahinge.app

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import java.io.Closeable
import java.time.Clock
import java.time.Duration
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.adapters.log.ClaimCodec
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.once.AppendOutcome
import org.wisteriahinge.core.once.KeyDigest
import org.wisteriahinge.core.once.OnceEffect
import org.wisteriahinge.core.once.OnceEvent
import org.wisteriahinge.core.once.OnceSettings
import org.wisteriahinge.core.once.OnceState
import org.wisteriahinge.core.once.claimUnavailable
import org.wisteriahinge.runtime.AppendRequest
import org.wisteriahinge.runtime.CallMessage
import org.wisteriahinge.runtime.LogFailure
import org.wisteriahinge.runtime.LogStream
import org.wisteriahinge.runtime.LogTailDuty
import org.wisteriahinge.runtime.Offer
import org.wisteriahinge.runtime.OnceDuty
import org.wisteriahinge.runtime.PeerLink
import org.wisteriahinge.runtime.PlatformLog
import org.wisteriahinge.runtime.RestartDetectingLog
import org.wisteriahinge.runtime.Ring
import org.wisteriahinge.runtime.TailEvent
import org.wisteriahinge.runtime.offerBlocking
import org.wisteriahinge.runtime.submit

private const val RING_CAPACITY = 4_096

/** Ring slots for ends of calls and results of appends; each call in progress has one end. */
private const val RESERVED_SLOTS = 1_100
private val STOP_TIMEOUT: Duration = Duration.ofSeconds(1)

/**
 * Runs the duty that executes each call with an idempotency key at most once.
 *
 * It reads and appends claims in the log, asks peers for outcomes, and settles claims with the
 * calls duty.
 */
internal class OnceService(
    private val instance: InstanceId,
    settings: OnceSettings,
    log: PlatformLog,
    private val appends: Ring<AppendRequest>,
    private val calls: Ring<CallMessage>,
    private val peers: PeerLink,
    clock: Clock
) : Closeable {
    private val ring = Ring<OnceEvent>("once", RING_CAPACITY, RESERVED_SLOTS)
    private val duty = OnceDuty(ring, OnceState(instance, settings), ::perform, clock)
    private val tail =
        LogTailDuty(LogStream.Claims, RestartDetectingLog(log), start = null, ::onTailEvent)

    fun start() {
        duty.start()
        tail.start()
    }

    /** Requests a claim; refused at once when the ring is full. */
    fun requestClaim(event: OnceEvent.Requested) {
        if (ring.offer(event) == Offer.Full) {
            settle(CallEvent.ClaimSettled(event.callId, claimUnavailable))
        }
    }

    fun endClaim(event: OnceEvent.Ended) {
        ring.offerReserved(event)
    }

    /** Sets the number of live instances, this one included, which share the rate of appends. */
    fun liveInstanceCountChanged(count: Int) {
        ring.offer(OnceEvent.LiveInstances(count))
    }

    /**
     * Passes on a peer's request or reply about an outcome.
     *
     * Dropped when the ring is full, because callers ask again.
     */
    fun received(message: PeerMessage) {
        when (message) {
            is PeerMessage.OutcomeRequest ->
                ring.offer(OnceEvent.OutcomeRequested(message.from, KeyDigest(message.keyDigest)))
            is PeerMessage.OutcomeReply ->
                ring.offer(OnceEvent.OutcomeReported(KeyDigest(message.keyDigest), message.outcome))
            is PeerMessage.Heartbeat,
            is PeerMessage.Quarantine,
            is PeerMessage.ConfigurationRequest,
            is PeerMessage.ConfigurationReply -> Unit
        }
    }

    private fun perform(effect: OnceEffect) {
        when (effect) {
            is OnceEffect.Append -> append(effect)
            is OnceEffect.Settle ->
                settle(CallEvent.ClaimSettled(effect.callId, effect.settlement))
            is OnceEffect.Send -> peers.send(effect.to, effect.message)
        }
    }

    private fun settle(event: CallEvent.ClaimSettled) {
        calls.offerReserved(CallMessage(event))
    }

    private fun append(effect: OnceEffect.Append) {
        val id = effect.batch.appendId
        val record = ClaimCodec.encode(instance, effect.batch)
        appends.submit(
            AppendRequest(LogStream.Claims, id, persistentListOf(record)) { outcome ->
                ring.offerReserved(OnceEvent.AppendSettled(id, outcomeOf(outcome)))
            }
        )
    }

    private fun outcomeOf(result: Result<Long, LogFailure>): AppendOutcome = result.mapBoth(
        success = { AppendOutcome.Appended },
        failure = { failure ->
            when (failure) {
                is LogFailure.Unavailable -> AppendOutcome.Rejected
                is LogFailure.OutcomeUnknown, is LogFailure.Expired -> AppendOutcome.Unknown
            }
        }
    )

    private fun onTailEvent(event: TailEvent) {
        when (event) {
            is TailEvent.BoundsRead -> ring.offerBlocking(
                OnceEvent.BoundsRead(event.bounds.earliest, event.bounds.next)
            )
            is TailEvent.Gap -> ring.offerBlocking(OnceEvent.Gap(event.earliest))
            is TailEvent.Read -> if (event.records.isNotEmpty()) {
                val batches = event.records.map(ClaimCodec::decode).toPersistentList()
                ring.offerBlocking(OnceEvent.Read(batches))
            }
            is TailEvent.Failed -> Unit
        }
    }

    override fun close() {
        tail.stop(STOP_TIMEOUT)
        duty.stop(STOP_TIMEOUT)
    }
}
