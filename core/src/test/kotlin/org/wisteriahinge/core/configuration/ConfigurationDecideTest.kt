package org.wisteriahinge.core.configuration

import java.time.Duration
import kotlinx.collections.immutable.persistentSetOf
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.RevisionNumber
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Guards against a lost, reverted or forked configuration. */
class ConfigurationDecideTest {
    @Test
    fun `of two racing publications the first in the log is accepted`() {
        val subject = aloneOnEmptyLog()
            .on(recordsRead(record(0, 0, "first"), record(1, 0, "second")))
        expectThat(subject.applied).isEqualTo(listOf(1L))
        expectThat(subject.state.lists).isEqualTo(listsOf("first"))
    }

    @Test
    fun `the same publication appended twice counts once`() {
        val first = record(0, 0)
        val subject = aloneOnEmptyLog()
            .on(recordsRead(first, first.copy(offset = 1), record(2, 1)))
        expectThat(subject.applied).isEqualTo(listOf(1L, 2L))
    }

    @Test
    fun `lists that do not validate never come into force and do not use up a number`() {
        val subject = aloneOnEmptyLog()
            .on(recordsRead(record(0, 0, INVALID), record(1, 0, "valid")))
        expectThat(subject.applied).isEqualTo(listOf(1L))
        expectThat(subject.state.lists).isEqualTo(listsOf("valid"))
        expectThat(subject.effects)
            .contains(ConfigurationEffect.Count(ConfigurationCounter.RejectedInvalid))
    }

    @Test
    fun `an unreadable record is counted and skipped`() {
        val subject = aloneOnEmptyLog()
            .on(recordsRead(ConfigurationRecord(0, null), record(1, 0)))
        expectThat(subject.revision).isEqualTo(1L)
        expectThat(subject.state.position.nextOffset).isEqualTo(2L)
    }

    @Test
    fun `a start reads the newest snapshot and the records after it`() {
        val subject = subject(expectsPeers = false).on(
            loaded(
                snapshot(0, checkpoint(6, 80)),
                snapshot(1, checkpoint(7, 90)),
                earliest = 50,
                readFrom = 90
            ),
            recordsRead(record(90, 7))
        )
        expectThat(subject.applied).isEqualTo(listOf(7L, 8L))
    }

    @Test
    fun `a restarted instance waits for its peers before it applies an older log`() {
        val restarted = subject().on(
            ConfigurationEvent.MembersChanged(persistentSetOf(SELF, PEER)),
            loaded(),
            recordsRead(record(0, 0)),
            heartbeat(7)
        )
        expectThat(restarted.applied).isEmpty()
        expectThat(restarted.effects).contains(ConfigurationEffect.AskPeer(PEER))
        expectThat(
            restarted.afterMillis(20, reply(checkpoint(7, 90))).applied
        ).isEqualTo(listOf(7L))
    }

    @Test
    fun `a start without an answer from peers applies the log after the grace time`() {
        val subject = subject().on(
            ConfigurationEvent.MembersChanged(persistentSetOf(SELF, PEER)),
            loaded(),
            recordsRead(record(0, 0))
        )
        expectThat(subject.applied).isEmpty()
        expectThat(subject.afterMillis(2_000, ConfigurationEvent.Ticked).applied)
            .isEqualTo(listOf(1L))
    }

    @Test
    fun `with the log down at startup a peer's configuration comes into force`() {
        val subject = subject().on(heartbeat(4), reply(checkpoint(4, 40)))
        expectThat(subject.applied).isEqualTo(listOf(4L))
        expectThat(subject.state.status.standing).isEqualTo(ConfigurationStanding.Confirmed)
    }

    @Test
    fun `without log and peers an instance has no configuration`() {
        val subject = subject().after(Duration.ofMinutes(1), ConfigurationEvent.Ticked)
        expectThat(subject.state.phase).isEqualTo(ConfigurationPhase.Loading)
        expectThat(subject.state.status.standing).isEqualTo(ConfigurationStanding.Absent)
    }

    @Test
    fun `a stale reply changes nothing`() {
        val current = aloneOnEmptyLog().on(recordsRead(record(0, 0), record(1, 1)))
        val after = current.on(reply(checkpoint(1, 1)))
        expectThat(after.applied).isEqualTo(listOf(1L, 2L))
        expectThat(after.state.lists).isEqualTo(current.state.lists)
        expectThat(after.effects)
            .contains(ConfigurationEffect.Count(ConfigurationCounter.StaleBase))
    }

    @Test
    fun `a newer revision of a peer is requested when the log does not deliver it`() {
        val behind = aloneOnEmptyLog().on(recordsRead(record(0, 0)), heartbeat(2))
        expectThat(behind.effects).doesNotContain(ConfigurationEffect.AskPeer(PEER))
        val asked = behind.afterMillis(1_000, heartbeat(2))
        expectThat(asked.effects).contains(ConfigurationEffect.AskPeer(PEER))
        val behindFor = asked.state.peers.behindSince
        expectThat(behindFor).isEqualTo(START)
        expectThat(asked.on(reply(checkpoint(2, 2))).applied).isEqualTo(listOf(1L, 2L))
    }

    @Test
    fun `records that were read before the revision they replace arrives are not lost`() {
        val subject = aloneOnEmptyLog()
            .on(recordsRead(record(0, 0), record(5, 3, "four")), reply(checkpoint(3, 5)))
        expectThat(subject.applied).isEqualTo(listOf(1L, 3L, 4L))
    }

    @Test
    fun `a request is answered with the lists in force as published`() {
        val request = PeerMessage.ConfigurationRequest(PEER)
        val subject = aloneOnEmptyLog()
            .on(recordsRead(record(0, 0)), ConfigurationEvent.PeerHeard(request))
        expectThat(subject.effects.last()).isEqualTo(
            ConfigurationEffect.ReplyToPeer(PEER, checkpoint(1, 1, "lists-0"))
        )
    }

    @Test
    fun `a revision that nobody confirms stays in force and is reported`() {
        val held = aloneOnEmptyLog().on(recordsRead(record(0, 0)))
        val unconfirmed = held.after(Duration.ofSeconds(10), ConfigurationEvent.Ticked)
        expectThat(unconfirmed.state.reported.standing)
            .isEqualTo(ConfigurationStanding.Unconfirmed)
        expectThat(unconfirmed.revision).isEqualTo(1L)
        val byPeer = unconfirmed.on(heartbeat(1))
        expectThat(byPeer.state.reported.standing).isEqualTo(ConfigurationStanding.Confirmed)
    }

    @Test
    fun `after lost records a record that lost to an unread one is not accepted`() {
        val detached = aloneOnEmptyLog().on(
            recordsRead(record(0, 0)),
            ConfigurationEvent.RecordsLost(10),
            recordsRead(record(10, 1, "loser"), record(11, 2, "three"))
        )
        expectThat(detached.state.phase).isEqualTo(ConfigurationPhase.Detached)
        expectThat(detached.applied).isEqualTo(listOf(1L))
        val found = detached.on(reply(checkpoint(2, 10)))
        expectThat(found.applied).isEqualTo(listOf(1L, 2L, 3L))
        expectThat(found.state.lists).isEqualTo(listsOf("three"))
    }

    @Test
    fun `a log that is truncated and published anew does not revert the revision in force`() {
        val subject = subject(expectsPeers = false).on(
            loaded(snapshot(0, checkpoint(7, 90)), earliest = 50, readFrom = 90),
            ConfigurationEvent.RecordsLost(0),
            recordsRead(record(0, 0, "older")),
            ConfigurationEvent.SnapshotsLost
        ).afterMillis(5_000, recordsRead(record(1, 7, "eight")))
        expectThat(subject.applied).isEqualTo(listOf(7L, 8L))
        val written = subject.effects.filterIsInstance<ConfigurationEffect.WriteSnapshot>()
        expectThat(written.last().checkpoint.nextOffset).isEqualTo(2L)
    }

    @Test
    fun `a new instance on a truncated log has no configuration until one is published`() {
        val empty = subject(expectsPeers = false).on(
            loaded(earliest = 30)
        )
        expectThat(empty.state.phase).isEqualTo(ConfigurationPhase.Detached)
        val settled = empty.afterMillis(5_000, recordsRead(record(30, 0)))
        expectThat(settled.applied).isEqualTo(listOf(1L))
        expectThat(settled.state.inForce).isA<Configuration>()
            .get { revision }.isEqualTo(RevisionNumber(1))
    }
}
