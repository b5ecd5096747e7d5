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

/** Guards against publications that are lost, doubled, or reported wrongly. */
class PublisherTest {
    private val log = MemoryLog()
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
    fun `the loser of a race is told which revision is in force and who won`() {
        log.beforeNextAppend { publisher.publish(publication("first", 0)) }
        expectThat(publisher.publish(publication("second", 0)))
            .isEqualTo(PublicationOutcome.Superseded(RevisionNumber(1), "first"))
        expectThat(publisher.publish(publication("second", 1))).isEqualTo(accepted(2))
    }

    @Test
    fun `a lost answer is resolved by reading back`() {
        log.failNextAppend(AppendFault.AnswerLost)
        expectThat(publisher.publish(publication("a", 0))).isEqualTo(accepted(1))
    }

    @Test
    fun `a lost request stays unknown and the same id can be published again`() {
        log.failNextAppend(AppendFault.RequestLost)
        expectThat(publisher.publish(publication("a", 0)))
            .isA<PublicationOutcome.Unknown>()
        expectThat(publisher.publish(publication("a", 0))).isEqualTo(accepted(1))
        expectThat(publisher.publish(publication("a", 0))).isEqualTo(accepted(1))
        expectThat(log.bounds(LogStream.Configuration).get()?.next).isEqualTo(1L)
    }

    @Test
    fun `a repeated publication that a snapshot replaced is still recognised`() {
        publisher.publish(publication("a", 0))
        writeSnapshot(1, 1, "a")
        expectThat(publisher.publish(publication("a", 0))).isEqualTo(accepted(1))
    }

    @Test
    fun `nothing is appended while another revision is in force`() {
        publisher.publish(publication("a", 0))
        expectThat(publisher.publish(publication("b", 5)))
            .isEqualTo(PublicationOutcome.Superseded(RevisionNumber(1), null))
        expectThat(log.bounds(LogStream.Configuration).get()?.next).isEqualTo(1L)
    }

    @Test
    fun `an unavailable log publishes nothing`() {
        log.failNextAppend(AppendFault.Unavailable)
        expectThat(publisher.publish(publication("a", 0)))
            .isA<PublicationOutcome.NotPublished>()
    }

    @Test
    fun `a log without its beginning is refused until a snapshot or an explicit restart`() {
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
    fun `the history of more records than one read names the verdict of each`() {
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
    fun `a reader beyond the end of a log that began anew is told to start over`() {
        val detecting = RestartDetectingLog(log)
        publisher.publish(publication("a", 0))
        expectThat(detecting.read(LogStream.Configuration, 1, 8, Duration.ZERO).get())
            .isNotNull().hasSize(0)
        log.restart()
        expectThat(detecting.read(LogStream.Configuration, 1, 8, Duration.ZERO).getError())
            .isA<LogFailure.Expired>().get { earliest }.isEqualTo(0L)
    }
}
