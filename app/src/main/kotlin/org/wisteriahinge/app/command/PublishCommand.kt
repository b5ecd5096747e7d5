package org.wisteriahinge.app.command

import com.github.f4b6a3.uuid.UuidCreator
import com.github.michaelbull.result.mapBoth
import java.time.Duration
import kotlinx.cli.ExperimentalCli
import org.wisteriahinge.adapters.lists.CUSTOMERS_FILE
import org.wisteriahinge.adapters.lists.ENTITLEMENTS_FILE
import org.wisteriahinge.adapters.log.Publication
import org.wisteriahinge.adapters.log.PublicationOutcome
import org.wisteriahinge.adapters.log.Publisher
import org.wisteriahinge.app.ExitCode
import org.wisteriahinge.app.settings.SettingValues
import org.wisteriahinge.app.settings.Settings
import org.wisteriahinge.app.validatingReader
import org.wisteriahinge.core.configuration.ListTexts
import org.wisteriahinge.core.model.RevisionNumber

private const val MAX_ID_LENGTH = 100
private val READ_BACK_INTERVAL: Duration = Duration.ofMillis(500)

@OptIn(ExperimentalCli::class)
internal class PublishCommand(context: CommandContext) :
    Command(
        "publish",
        "Validate and publish the two lists as the revision after --replaces",
        context,
        Settings.ofLogCommands
    ) {
    private val customers = flag("customers", "Customers' list (default '$CUSTOMERS_FILE')")
    private val entitlements =
        flag("entitlements", "List of what plans may use (default '$ENTITLEMENTS_FILE')")
    private val replaces =
        flag("replaces", "Revision that the lists were made from, as 'show' prints it; 0 for none")
    private val publicationId =
        flag("publication-id", "Id of an earlier attempt with an unknown outcome")
    private val afterLoss =
        switch("after-loss", "Publish although the log has lost the revision in force")

    override fun run(): Int = withSettings { values ->
        val number = replaces.value?.toLongOrNull()?.takeIf { it >= 0 }
        val id = publicationId.value
        when {
            number == null -> reportBadInput(
                listOf(
                    "--replaces: found ${replaces.value?.let {
                        "'$it'"
                    } ?: "no value"}, expected " +
                        "the revision in force; 'wisteriahinge show' prints it"
                )
            )
            id != null && id.length !in 1..MAX_ID_LENGTH -> reportBadInput(
                listOf("--publication-id: expected 1 to $MAX_ID_LENGTH characters; repeat the id")
            )
            else -> readAndPublish(values, RevisionNumber(number))
        }
    }

    private fun readAndPublish(values: SettingValues, replaces: RevisionNumber): Int = ListFiles(
        customers.value ?: CUSTOMERS_FILE,
        entitlements.value ?: ENTITLEMENTS_FILE
    ).read().mapBoth(
        success = { publish(values, replaces, it.texts) },
        failure = ::reportBadInput
    )

    private fun publish(values: SettingValues, replaces: RevisionNumber, lists: ListTexts): Int {
        val publication = Publication(
            id = publicationId.value ?: UuidCreator.getTimeOrderedEpoch().toString(),
            replaces = replaces,
            lists = lists,
            afterLoss = afterLoss.value == true
        )
        val outcome = openLog(values).use { log ->
            Publisher(log, validatingReader, READ_BACK_INTERVAL).publish(publication)
        }
        return report(outcome, publication)
    }

    private fun report(outcome: PublicationOutcome, publication: Publication): Int =
        when (outcome) {
            is PublicationOutcome.Accepted -> {
                context.out.println("revision ${outcome.number} accepted (id ${publication.id})")
                ExitCode.DONE
            }
            is PublicationOutcome.Superseded -> reportFailure(
                "not accepted: revision ${outcome.inForce} is in force" +
                    outcome.winner?.let { ", published as $it" }.orEmpty() +
                    "; compare with 'wisteriahinge show --list customers', then publish with " +
                    "--replaces ${outcome.inForce}"
            )
            PublicationOutcome.HistoryLost -> reportFailure(
                "the log has lost its records; a running instance writes a snapshot within " +
                    "a minute, then publish again; without running instances add " +
                    "--after-loss --replaces 0"
            )
            is PublicationOutcome.NotPublished ->
                reportFailure("nothing was published: ${outcome.failure.message}")
            is PublicationOutcome.Unknown -> reportFailure(
                "outcome unknown: ${outcome.failure.message}; run the same command again with " +
                    "--publication-id ${publication.id}, which counts once"
            )
        }
}
