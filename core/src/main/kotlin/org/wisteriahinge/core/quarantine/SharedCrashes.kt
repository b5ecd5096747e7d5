package org.wisteriahinge.core.quarantine

import java.time.Instant
import kotlinx.collections.immutable.toPersistentSet
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallsDecision
import org.wisteriahinge.core.call.CallsState

/** Tells all instances how many crashes of [key] this instance has counted. */
internal fun CallsState.shareCrashes(key: SuspectKey.OfContent, suspect: Suspect): CallsDecision =
    CallsDecision(this).emit(CallEffect.ShareCrashes(key.digest, suspect.ownCrashes))

/** Tells all instances that the request [key] was answered, so that no count holds any more. */
internal fun CallsState.shareClearance(key: SuspectKey.OfContent, suspect: Suspect): CallsDecision =
    CallsDecision(this).emit(
        CallEffect.ClearCrashes(key.digest, suspect.peerCrashes.keys.toPersistentSet())
    )

/** Merges the count of another instance. A count of 0 clears the one before. */
internal fun CallsState.crashesShared(event: CallEvent.CrashesShared, now: Instant): CallsDecision {
    val key = SuspectKey.OfContent(event.digest)
    if (event.crashes == 0) {
        return withoutCount(key, now) { it.copy(peerCrashes = it.peerCrashes.remove(event.from)) }
    }
    val known = quarantine.suspectOrNew(key, now)
    val counted = known.copy(
        peerCrashes = known.peerCrashes.put(event.from, event.crashes),
        until = maxOf(known.until, now + quarantine.settings.suspicionPeriod)
    )
    return CallsDecision(copy(quarantine = quarantine.put(key, counted, now)))
}

/** Another instance had the request answered and cleared the count of this one. */
internal fun CallsState.crashesCleared(
    event: CallEvent.CrashesCleared,
    now: Instant
): CallsDecision = withoutCount(SuspectKey.OfContent(event.digest), now) {
    it.copy(ownCrashes = 0)
}

private fun CallsState.withoutCount(
    key: SuspectKey.OfContent,
    now: Instant,
    remove: (Suspect) -> Suspect
): CallsDecision {
    val known = quarantine.suspect(key, now) ?: return CallsDecision(this)
    if (known.quarantined) return CallsDecision(this)
    val remaining = remove(known)
    val next = if (remaining.crashes == 0) {
        quarantine.remove(key)
    } else {
        quarantine.put(key, remaining, now)
    }
    return CallsDecision(copy(quarantine = next))
}
