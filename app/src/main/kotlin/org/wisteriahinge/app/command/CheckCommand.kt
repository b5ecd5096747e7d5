package org.wisteriahinge.app.command

import com.github.michaelbull.result.mapBoth
import kotlinx.cli.ExperimentalCli
import org.wisteriahinge.adapters.lists.CUSTOMERS_FILE
import org.wisteriahinge.adapters.lists.ENTITLEMENTS_FILE
import org.wisteriahinge.app.ExitCode

@OptIn(ExperimentalCli::class)
internal class CheckCommand(context: CommandContext) :
    Command("check", "Validate the two lists without publishing them", context) {
    private val customers = flag("customers", "Customers' list (default '$CUSTOMERS_FILE')")
    private val entitlements =
        flag("entitlements", "List of what plans may use (default '$ENTITLEMENTS_FILE')")

    override fun run(): Int = ListFiles(
        customers.value ?: CUSTOMERS_FILE,
        entitlements.value ?: ENTITLEMENTS_FILE
    ).read().mapBoth(
        success = { lists ->
            val (_, customers, entitlements) = lists.configuration
            val services = entitlements.services.values
            context.out.println(
                "valid: ${customers.byId.size} customers, ${entitlements.plans.size} plans, " +
                    "${services.size} services, ${services.sumOf { it.targets.size }} targets, " +
                    "${services.sumOf { it.operations.size }} operations"
            )
            ExitCode.DONE
        },
        failure = ::reportBadInput
    )
}
