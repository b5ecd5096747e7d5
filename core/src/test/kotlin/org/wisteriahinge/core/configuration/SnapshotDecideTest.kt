package org.wisteriahinge.core.configuration

import java.time.Duration
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.model.InstanceId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/** Guards against snapshots that expire, and against every instance writing its own snapshot. */
class SnapshotDecideTest {
    private val timing = ConfigurationTiming(retention = Duration.ofHours(8))
    private val ids = (1..18).map { InstanceId("instance-$it") }
    private val members = ids.fold(persistentSetOf<InstanceId>()) { all, id -> all.add(id) }

    private fun instances() = ids.map { id ->
        subject(id, timing).on(
            ConfigurationEvent.MembersChanged(members),
            loaded(),
            heartbeat(1, ids.first { it != id }),
            recordsRead(record(0, 0)),
            reply(checkpoint(1, 1))
        )
    }

    @Test
    fun `one of 18 instances writes the first snapshot and the others are suppressed`() {
        val fleet = instances()
        expectThat(fleet.sumOf { it.snapshotsWritten }).isEqualTo(1)
        val seen = ConfigurationEvent.SnapshotsRead(
            persistentListOf(snapshot(0, checkpoint(1, 1), START.plusSeconds(1)))
        )
        val later = fleet.map { instance ->
            (1..60).fold(instance.afterMillis(1_000, seen)) { current, _ ->
                current.afterMillis(1_000, recordsRead())
            }
        }
        expectThat(later.sumOf { it.snapshotsWritten }).isEqualTo(1)
    }

    @Test
    fun `a writer that fails is replaced by the next in order`() {
        val fleet = instances().filter { it.snapshotsWritten == 0 }
        val later = fleet.map { instance ->
            (1..12).fold(instance) { current, _ -> current.afterMillis(1_000, recordsRead()) }
        }
        expectThat(later.sumOf { it.snapshotsWritten }).isEqualTo(1)
    }

    @Test
    fun `a snapshot is rewritten well before a quarter of retention`() {
        val alone = subject(timing = timing, expectsPeers = false).on(
            loaded(snapshot(0, checkpoint(3, 9)), readFrom = 9),
            recordsRead()
        )
        expectThat(alone.snapshotsWritten).isEqualTo(0)
        val due = alone.after(timing.snapshotAge, recordsRead())
        expectThat(due.snapshotsWritten).isEqualTo(1)
        expectThat(timing.snapshotAge + timing.takeoverDelay.multipliedBy(18))
            .isLessThan(timing.retention.dividedBy(4))
    }

    @Test
    fun `a snapshot is due after 64 revisions so that a start reads few records`() {
        val alone = subject(timing = timing, expectsPeers = false).on(
            loaded(snapshot(0, checkpoint(1, 1)), readFrom = 1)
        )
        val busy = (1L..64L).fold(alone) { current, number ->
            current.on(recordsRead(record(number, number)))
        }
        expectThat(busy.snapshotsWritten).isEqualTo(1)
    }

    @Test
    fun `an append without an answer is not repeated before the next turn`() {
        val failed = aloneOnEmptyLog().on(
            recordsRead(record(0, 0)),
            ConfigurationEvent.SnapshotWriteEnded(succeeded = false),
            ConfigurationEvent.Ticked
        )
        expectThat(failed.snapshotsWritten).isEqualTo(1)
        expectThat(failed.after(Duration.ofSeconds(10), recordsRead()).snapshotsWritten)
            .isEqualTo(2)
    }
}
