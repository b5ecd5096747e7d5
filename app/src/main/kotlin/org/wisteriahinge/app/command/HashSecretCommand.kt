package org.wisteriahinge.app.command

import kotlinx.cli.ExperimentalCli
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.adapters.caller.CredentialHasher
import org.wisteriahinge.app.ExitCode
import org.wisteriahinge.app.settings.Settings

@OptIn(ExperimentalCli::class)
internal class HashSecretCommand(context: CommandContext) :
    Command(
        "hash-secret",
        "Print the keyed hash of a caller's secret read from standard input",
        context,
        persistentListOf(Settings.credentialKey)
    ) {
    override fun run(): Int = withSettings { values ->
        val secret = readlnOrNull()?.trim().orEmpty()
        if (secret.isEmpty()) {
            reportBadInput(listOf("no secret on standard input; write it as one line"))
        } else {
            val hasher = CredentialHasher(values[Settings.credentialKey].encodeToByteArray())
            context.out.println(hasher.hash(secret))
            ExitCode.DONE
        }
    }
}
