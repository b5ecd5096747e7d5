package org.wisteriahinge.app.command

import com.github.michaelbull.result.mapBoth
import kotlinx.cli.ExperimentalCli
import org.wisteriahinge.adapters.log.LoggedHistory
import org.wisteriahinge.adapters.log.readHistory
import org.wisteriahinge.app.ExitCode
import org.wisteriahinge.app.settings.Settings
import org.wisteriahinge.app.validatingReader
import org.wisteriahinge.core.configuration.RevisionCheckpoint

private const val CUSTOMERS = "customers"
private const val ENTITLEMENTS = "entitlements"

@OptIn(ExperimentalCli::class)
internal class ShowCommand(context: CommandContext) :
    Command("show", "Print the revision in force", context, Settings.ofLogCommands) {
    private val list = flag("list", "Print a whole list: '$CUSTOMERS' or '$ENTITLEMENTS'")

    override fun run(): Int = withSettings { values ->
        val listName = list.value
        if (listName != null && listName != CUSTOMERS && listName != ENTITLEMENTS) {
            reportBadInput(
                listOf("--list: found '$listName', expected '$CUSTOMERS' or '$ENTITLEMENTS'")
            )
        } else {
            openLog(values).use { it.readHistory(validatingReader) }
                .mapBoth(success = { show(it, listName) }, failure = { reportFailure(it.message) })
        }
    }

    private fun show(logged: LoggedHistory, listName: String?): Int {
        val inForce = logged.history.inForce ?: return nothingInForce(logged)
        when (listName) {
            CUSTOMERS -> context.out.print(inForce.lists.customers)
            ENTITLEMENTS -> context.out.print(inForce.lists.entitlements)
            else -> summary(inForce)
        }
        return ExitCode.DONE
    }

    private fun summary(inForce: RevisionCheckpoint) {
        context.out.println(
            "revision ${inForce.revision} is in force; publish changes with " +
                "--replaces ${inForce.revision}"
        )
    }

    private fun nothingInForce(logged: LoggedHistory): Int = reportFailure(
        if (logged.startLost) {
            "the log has lost its records and holds no snapshot; a running instance writes one " +
                "within a minute"
        } else {
            "no revision is in force; publish the first one with --replaces 0"
        }
    )
}
