package org.wisteriahinge.app.command

import com.github.michaelbull.result.mapBoth
import kotlinx.cli.ExperimentalCli
import org.wisteriahinge.adapters.log.LoggedHistory
import org.wisteriahinge.adapters.log.readHistory
import org.wisteriahinge.app.ExitCode
import org.wisteriahinge.app.settings.Settings
import org.wisteriahinge.app.validatingReader
import org.wisteriahinge.core.configuration.EvaluatedRecord
import org.wisteriahinge.core.configuration.RecordVerdict

@OptIn(ExperimentalCli::class)
internal class RevisionsCommand(context: CommandContext) :
    Command(
        "revisions",
        "List the publications since the newest snapshot and what became of them",
        context,
        Settings.ofLogCommands
    ) {
    override fun run(): Int = withSettings { values ->
        openLog(values).use { it.readHistory(validatingReader) }
            .mapBoth(success = ::list, failure = { reportFailure(it.message) })
    }

    private fun list(logged: LoggedHistory): Int {
        logged.history.records.forEach { context.out.println(describe(it)) }
        context.out.println("revision ${logged.history.number} is in force")
        return ExitCode.DONE
    }

    private fun describe(judged: EvaluatedRecord): String {
        val id = judged.record.revision?.publicationId ?: "-"
        val replaces = judged.record.revision?.replaces ?: "-"
        return "offset ${judged.record.offset}  id $id  replaces $replaces  " +
            when (val verdict = judged.verdict) {
                is RecordVerdict.Accepted -> "accepted as revision ${verdict.number}"
                is RecordVerdict.Superseded ->
                    "refused: revision ${verdict.inForce} was in force"
                RecordVerdict.Invalid -> "refused: the lists do not validate"
                RecordVerdict.Unreadable -> "refused: not a revision that this version reads"
            }
    }
}
