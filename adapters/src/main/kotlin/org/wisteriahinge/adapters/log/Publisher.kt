package org.wisteriahinge.adapters.log

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import java.time.Duration
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.configuration.ListReader
import org.wisteriahinge.core.configuration.ListTexts
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.runtime.LogFailure
import org.wisteriahinge.runtime.LogStream
import org.wisteriahinge.runtime.PlatformLog

private const val READ_BACK_ATTEMPTS = 8

/** Lists to publish. The same [id] published again counts once. */
public data class Publication(
    val id: String,
    val replaces: RevisionNumber,
    val lists: ListTexts,
    /** Publishes even though the log has lost the revision that was in force. */
    val afterLoss: Boolean = false
)

/** What became of a publication. */
public sealed interface PublicationOutcome {
    /** It is in force as [number], or was replaced by a later one since. */
    public data class Accepted(val number: RevisionNumber) : PublicationOutcome

    /** [inForce] is in force and is not the revision that the publication replaces. */
    public data class Superseded(val inForce: RevisionNumber, val winner: String?) :
        PublicationOutcome

    /** The log has lost its records and no snapshot was written yet. */
    public data object HistoryLost : PublicationOutcome

    /** Nothing was published. */
    public data class NotPublished(val failure: LogFailure) : PublicationOutcome

    /** It may have been published; the same id must be used to publish it again. */
    public data class Unknown(val failure: LogFailure) : PublicationOutcome
}

/**
 * Publishes revisions and reads back what became of them. Blocks.
 *
 * [pause] separates attempts to read back.
 */
public class Publisher(
    private val log: PlatformLog,
    private val reader: ListReader,
    private val pause: Duration
) {
    /** Appends [publication] unless it is already accepted or cannot be. */
    public fun publish(publication: Publication): PublicationOutcome {
        val before = log.readHistory(reader)
            .getOrElse { return PublicationOutcome.NotPublished(it) }
        return earlierAcceptance(before, publication) ?: when {
            before.startLost && before.isEmpty && !publication.afterLoss ->
                PublicationOutcome.HistoryLost
            before.history.number != publication.replaces -> superseded(before, publication)
            else -> append(before, publication)
        }
    }

    /** A publication that is repeated: its record is found, or a snapshot holds its lists. */
    private fun earlierAcceptance(
        logged: LoggedHistory,
        publication: Publication
    ): PublicationOutcome? {
        val inForce = logged.history.inForce
        val next = RevisionNumber(publication.replaces.value + 1)
        val isInSnapshot = inForce?.revision == next && inForce.lists == publication.lists
        val number = logged.history.acceptanceOf(publication.id)?.number
            ?: next.takeIf { isInSnapshot }
        return number?.let(PublicationOutcome::Accepted)
    }

    private fun append(before: LoggedHistory, publication: Publication): PublicationOutcome =
        send(publication).mapBoth(
            success = { readBack(before, publication, LogFailure.OutcomeUnknown("not readable")) },
            failure = { failure ->
                when (failure) {
                    is LogFailure.Unavailable, is LogFailure.Expired ->
                        PublicationOutcome.NotPublished(failure)
                    is LogFailure.OutcomeUnknown -> readBack(before, publication, failure)
                }
            }
        )

    private fun send(publication: Publication): Result<Long, LogFailure> {
        val record = RevisionRecord(
            version = REVISION_RECORD_VERSION,
            publicationId = publication.id,
            replaces = publication.replaces.value,
            customers = publication.lists.customers,
            entitlements = publication.lists.entitlements
        )
        val payload = RevisionCodec.encode(record)
        return log.append(LogStream.Configuration, publication.id, persistentListOf(payload))
    }

    /** Reads on from what was known before the append until the record appears. */
    private tailrec fun readBack(
        before: LoggedHistory,
        publication: Publication,
        failure: LogFailure,
        attemptsLeft: Int = READ_BACK_ATTEMPTS
    ): PublicationOutcome {
        val found = log.readOn(before, reader)
            .mapBoth(success = { outcomeIn(it, publication) }, failure = { null })
        if (found != null) return found
        if (attemptsLeft <= 1) return PublicationOutcome.Unknown(failure)
        Thread.sleep(pause.toMillis())
        return readBack(before, publication, failure, attemptsLeft - 1)
    }

    /** Null while the record is not in the log and could still win. */
    private fun outcomeIn(logged: LoggedHistory, publication: Publication): PublicationOutcome? {
        val cannotWin = logged.history.containsPublication(publication.id) ||
            logged.history.number > publication.replaces
        return logged.history.acceptanceOf(publication.id)
            ?.let { PublicationOutcome.Accepted(it.number) }
            ?: if (cannotWin) superseded(logged, publication) else null
    }

    private fun superseded(
        logged: LoggedHistory,
        publication: Publication
    ): PublicationOutcome.Superseded {
        val winner = logged.history.records
            .firstOrNull { it.record.revision?.replaces == publication.replaces }
            ?.record?.revision?.publicationId
        return PublicationOutcome.Superseded(logged.history.number, winner)
    }
}
