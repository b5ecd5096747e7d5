package org.wisteriahinge.bench.capacity

import com.github.f4b6a3.uuid.UuidCreator
import java.time.Instant
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.once.ClaimBatch
import org.wisteriahinge.core.once.ClaimEntry
import org.wisteriahinge.core.once.ClaimId
import org.wisteriahinge.core.once.Fingerprint
import org.wisteriahinge.core.once.KeyDigest
import org.wisteriahinge.core.once.OnceEvent
import org.wisteriahinge.core.once.OnceSettings
import org.wisteriahinge.core.once.OnceState
import org.wisteriahinge.core.once.ReadBatch
import org.wisteriahinge.core.once.decide

private const val READ = 5_000
private const val CLAIMS_PER_BATCH = 25
private val START = Instant.parse("2026-01-01T00:00:00Z")
private val CLAIM_COUNTS = persistentListOf(1_000, 10_000, 100_000)

internal fun claimSlopes(): List<Slope> = listOf(
    measureSlope("claim of another instance read", "claims in the window", CLAIM_COUNTS) { held ->
        val state = read(OnceState(InstanceId("a#1"), OnceSettings()), held, from = 0)
        Measured(state, READ) { read(state, READ, from = held) }
    }
)

private fun read(start: OnceState, claims: Int, from: Int): OnceState =
    (from until from + claims step CLAIMS_PER_BATCH).fold(start) { state, first ->
        val batch = ReadBatch(first.toLong() / CLAIMS_PER_BATCH, batch(first))
        state.decide(OnceEvent.Read(persistentListOf(batch)), START).state
    }

private fun batch(first: Int): ClaimBatch {
    val id = InstanceId("b#1")
    val entries = List(CLAIMS_PER_BATCH) { index ->
        ClaimEntry.Claim(
            ClaimId(id, first + index.toLong()),
            KeyDigest(UuidCreator.getTimeOrderedEpoch().toString()),
            START,
            Fingerprint("0123456789abcdef0123456789abcdef")
        )
    }.toPersistentList()
    return ClaimBatch("append-$first", first.toLong() / CLAIMS_PER_BATCH, START, entries)
}
