package org.wisteriahinge.adapters.log

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.configuration.ListReader
import org.wisteriahinge.core.configuration.ListTexts
import org.wisteriahinge.core.configuration.RecordVerdict
import org.wisteriahinge.core.configuration.RevisionCheckpoint
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.runtime.LogFailure
import org.wisteriahinge.runtime.LogStream
import org.wisteriahinge.runtime.RestartDetectingLog
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

/** Guards against publications that are lost, applied twice, or reported with a wrong outcome. */
class PublisherTest {
    private val log = InMemoryLog()
    private val reader = ListReader { lists, revision ->
        Configuration.Empty.copy(revision = revision).takeIf { lists.customers != "invalid" }
    }
    private val publisher = Publisher(log, reader, Duration.ZERO)

    private fun publication(id: String, replaces: Long, text: String = id) =
        Publication(id, RevisionNumber(replaces), ListTexts(text, text))

    private fun accepted(number: Long) = PublicationOutcome.Accepted(RevisionNumber(number))

    private fun writeSnapshot(revision: Long, nextOffset: Long, text: String) {
        val base = RevisionCheckpoint(RevisionNumber(revision), nextOffset, ListTexts(text, text))
        log.append(
            LogStream.ConfigurationSnapshot,
            "snapshot",
            persistentListOf(SnapshotCodec.encode(base, Instant.EPOCH))
        )
    }

    @Test
    fun `the later of two concurrent publications reports the revision in force and its id`() {
        log.beforeNextAppend { publisher.publish(publication("first", 0)) }
        expectThat(publisher.publish(publication("second", 0)))
            .isEqualTo(PublicationOutcome.Superseded(RevisionNumber(1), "first"))
        expectThat(publisher.publish(publication("second", 1))).isEqualTo(accepted(2))
    }

    @Test
    fun `after a lost answer the outcome is read from the log`() {
        log.failNextAppend(AppendFault.AnswerLost)
        expectThat(publisher.publish(publication("a", 0))).isEqualTo(accepted(1))
    }

    @Test
    fun `a lost request has an unknown outcome and can be repeated with the same id`() {
        log.failNextAppend(AppendFault.RequestLost)
        expectThat(publisher.publish(publication("a", 0)))
            .isA<PublicationOutcome.Unknown>()
        expectThat(publisher.publish(publication("a", 0))).isEqualTo(accepted(1))
        expectThat(publisher.publish(publication("a", 0))).isEqualTo(accepted(1))
        expectThat(log.bounds(LogStream.Configuration).get()?.next).isEqualTo(1L)
    }

    @Test
    fun `a repeated publication is recognised after a snapshot replaced its record`() {
        publisher.publish(publication("a", 0))
        writeSnapshot(1, 1, "a")
        expectThat(publisher.publish(publication("a", 0))).isEqualTo(accepted(1))
    }

    @Test
    fun `a publication that replaces another revision than the one in force is not appended`() {
        publisher.publish(publication("a", 0))
        expectThat(publisher.publish(publication("b", 5)))
            .isEqualTo(PublicationOutcome.Superseded(RevisionNumber(1), null))
        expectThat(log.bounds(LogStream.Configuration).get()?.next).isEqualTo(1L)
    }

    @Test
    fun `nothing is published while the log is unavailable`() {
        log.failNextAppend(AppendFault.Unavailable)
        expectThat(publisher.publish(publication("a", 0)))
            .isA<PublicationOutcome.NotPublished>()
    }

    @Test
    fun `a log that lost its first records is refused until a snapshot or with afterLoss`() {
        publisher.publish(publication("a", 0))
        log.expire(LogStream.Configuration, 1)
        expectThat(publisher.publish(publication("b", 0)))
            .isEqualTo(PublicationOutcome.HistoryLost)
        writeSnapshot(1, 1, "a")
        expectThat(publisher.publish(publication("b", 1))).isEqualTo(accepted(2))
        log.expire(LogStream.Configuration, 2)
        log.expire(LogStream.ConfigurationSnapshot, 1)
        expectThat(publisher.publish(publication("c", 0).copy(afterLoss = true)))
            .isEqualTo(accepted(1))
    }

    @Test
    fun `a history longer than one read has the verdict of every record`() {
        (0L until 70L).forEach { publisher.publish(publication("id-$it", it)) }
        val record = RevisionRecord(REVISION_RECORD_VERSION, "late", 3, "late", "late")
        log.append(
            LogStream.Configuration,
            "late",
            persistentListOf(RevisionCodec.encode(record), byteArrayOf(1, 2))
        )
        val history = log.readHistory(reader).get()?.history
        expectThat(history).isNotNull().get { number }.isEqualTo(RevisionNumber(70))
        expectThat(history?.records.orEmpty()).hasSize(72)
        expectThat(history?.records?.get(70)?.verdict)
            .isEqualTo(RecordVerdict.Superseded(RevisionNumber(70)))
        expectThat(history?.records?.get(71)?.verdict).isEqualTo(RecordVerdict.Unreadable)
    }

    @Test
    fun `a reader beyond the end of a restarted log gets an expired failure`() {
        val detecting = RestartDetectingLog(log)
        publisher.publish(publication("a", 0))
        expectThat(detecting.read(LogStream.Configuration, 1, 8, Duration.ZERO).get())
            .isNotNull().hasSize(0)
        log.reset()
        expectThat(detecting.read(LogStream.Configuration, 1, 8, Duration.ZERO).getError())
            .isA<LogFailure.Expired>().get { earliest }.isEqualTo(0L)
    }
}
