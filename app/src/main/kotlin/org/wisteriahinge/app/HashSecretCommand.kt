@file:OptIn(ExperimentalCli::class)

package org.wisteriahinge.app

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.required
import org.wisteriahinge.adapters.caller.CredentialHasher

internal class HashSecretCommand :
    Subcommand("hash-secret", "Print the keyed hash of a secret read from standard input") {
    private val credentialKey by option(ArgType.String, "credential-key").required()

    override fun execute() {
        println(CredentialHasher(credentialKey.encodeToByteArray()).hash(readln()))
    }
}
