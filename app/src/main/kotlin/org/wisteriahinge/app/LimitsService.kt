package org.wisteriahinge.app

import com.github.michaelbull.result.mapBoth
import java.io.Closeable
import java.time.Clock
import java.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.adapters.log.ShareCodec
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.limits.Demand
import org.wisteriahinge.core.limits.LimitsEffect
import org.wisteriahinge.core.limits.LimitsEvent
import org.wisteriahinge.core.limits.LimitsSettings
import org.wisteriahinge.core.limits.LimitsState
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.once.AppendOutcome
import org.wisteriahinge.runtime.AppendRequest
import org.wisteriahinge.runtime.CallMessage
import org.wisteriahinge.runtime.LimitsDuty
import org.wisteriahinge.runtime.LogStream
import org.wisteriahinge.runtime.LogTailDuty
import org.wisteriahinge.runtime.PlatformLog
import org.wisteriahinge.runtime.RestartDetectingLog
import org.wisteriahinge.runtime.Ring
import org.wisteriahinge.runtime.TailEvent
import org.wisteriahinge.runtime.offerBlocking
import org.wisteriahinge.runtime.submit

private const val RING_CAPACITY = 1_024

/** Ring slots for results of appends; one append is in flight at a time. */
private const val RESERVED_SLOTS = 8
private val STOP_TIMEOUT: Duration = Duration.ofSeconds(1)

/** Time to append the record that returns the shares; without it they expire. */
private const val SHARE_RETURN_WAIT_MS = 300L

/**
 * Runs the duty that divides plan limits among the instances.
 *
 * It reads and appends share records in the log, and sends usable shares to the calls duty.
 */
internal class LimitsService(
    instance: InstanceId,
    settings: LimitsSettings,
    log: PlatformLog,
    private val appends: Ring<AppendRequest>,
    private val calls: Ring<CallMessage>,
    clock: Clock
) : Closeable {
    private val ring = Ring<LimitsEvent>("limits", RING_CAPACITY, RESERVED_SLOTS)
    private val duty = LimitsDuty(ring, LimitsState(instance, settings), ::perform, clock)
    private val tail =
        LogTailDuty(LogStream.Shares, RestartDetectingLog(log), start = null, ::onTailEvent)

    fun start() {
        duty.start()
        tail.start()
    }

    /** Reports the demand; dropped when the ring is full, because the next report replaces it. */
    fun reportDemand(demands: PersistentMap<CustomerId, Demand>) {
        ring.offer(LimitsEvent.DemandReported(demands))
    }

    private fun perform(effect: LimitsEffect) {
        when (effect) {
            is LimitsEffect.Append -> append(effect)
            is LimitsEffect.Announce ->
                calls.offerBlocking(CallMessage(CallEvent.SharesChanged(effect.shares)))
        }
    }

    private fun append(effect: LimitsEffect.Append) {
        val id = effect.batch.appendId
        val record = persistentListOf(ShareCodec.encode(effect.batch))
        appends.submit(
            AppendRequest(LogStream.Shares, id, record) { result ->
                val outcome = result.mapBoth(
                    success = { AppendOutcome.Appended },
                    failure = { AppendOutcome.Unknown }
                )
                ring.offerReserved(LimitsEvent.AppendSettled(id, outcome))
            }
        )
    }

    private fun onTailEvent(event: TailEvent) {
        when (event) {
            is TailEvent.BoundsRead -> ring.offerBlocking(
                LimitsEvent.BoundsRead(event.bounds.earliest, event.bounds.next)
            )
            is TailEvent.Gap -> ring.offerBlocking(LimitsEvent.Gap(event.earliest))
            is TailEvent.Read -> if (event.records.isNotEmpty()) {
                val batches = event.records.map(ShareCodec::decode).toPersistentList()
                ring.offerBlocking(LimitsEvent.Read(batches))
            }
            is TailEvent.Failed -> Unit
        }
    }

    override fun close() {
        ring.offer(LimitsEvent.Stopping)
        Thread.sleep(SHARE_RETURN_WAIT_MS)
        tail.stop(STOP_TIMEOUT)
        duty.stop(STOP_TIMEOUT)
    }
}
