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

/**
 * The lists [lists] to publish as the revision that follows [replaces].
 *
 * Publishing again with the same [id] is idempotent.
 */
public data class Publication(
    val id: String,
    val replaces: RevisionNumber,
    val lists: ListTexts,
    /** Whether to publish even if the log has lost the revision that was in force. */
    val afterLoss: Boolean = false
)

/** The result of publishing a [Publication]. */
public sealed interface PublicationOutcome {
    /** The publication came into force as revision [number]; a later one may have replaced it. */
    public data class Accepted(val number: RevisionNumber) : PublicationOutcome

    /**
     * Revision [inForce] is in force, which is not the one that the publication replaces. [winner]
     * is the id of the first publication in the log that replaces the same revision, if any.
     */
    public data class Superseded(val inForce: RevisionNumber, val winner: String?) :
        PublicationOutcome

    /**
     * The log has lost its records, and no snapshot has been written since. Nothing was published.
     */
    public data object HistoryLost : PublicationOutcome

    /** The log could not be read or written. Nothing was published. */
    public data class NotPublished(val failure: LogFailure) : PublicationOutcome

    /**
     * The publication may or may not be in the log. It must be repeated with the same id, so that
     * it does not count twice.
     */
    public data class Unknown(val failure: LogFailure) : PublicationOutcome
}

/**
 * Publishes revisions to the log, then reads the log to learn whether they came into force.
 *
 * The log is read every [readBackInterval], at most [READ_BACK_ATTEMPTS] times. Blocks.
 */
public class Publisher(
    private val log: PlatformLog,
    private val reader: ListReader,
    private val readBackInterval: Duration
) {
    /** Appends [publication], unless the log shows that it is accepted already or cannot be. */
    public fun publish(publication: Publication): PublicationOutcome {
        val before = log.readHistory(reader)
            .getOrElse { return PublicationOutcome.NotPublished(it) }
        return findEarlierAcceptance(before, publication) ?: when {
            before.startLost && before.isEmpty && !publication.afterLoss ->
                PublicationOutcome.HistoryLost
            before.history.number != publication.replaces -> superseded(before, publication)
            else -> append(before, publication)
        }
    }

    /**
     * Recognises a publication that was accepted before: its record is in the log, or the snapshot
     * that replaced the record has the same lists. Null otherwise.
     */
    private fun findEarlierAcceptance(
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
            success = {
                readBack(
                    before,
                    publication,
                    LogFailure.OutcomeUnknown("record cannot be read back")
                )
            },
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

    /** Reads the records after those in [before] until the outcome of [publication] is known. */
    private tailrec fun readBack(
        before: LoggedHistory,
        publication: Publication,
        failure: LogFailure,
        attemptsLeft: Int = READ_BACK_ATTEMPTS
    ): PublicationOutcome {
        val found = log.readAppended(before, reader)
            .mapBoth(success = { outcomeIn(it, publication) }, failure = { null })
        if (found != null) return found
        if (attemptsLeft <= 1) return PublicationOutcome.Unknown(failure)
        Thread.sleep(readBackInterval.toMillis())
        return readBack(before, publication, failure, attemptsLeft - 1)
    }

    /** The outcome as of [logged]; null while the record may still be appended and accepted. */
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
