@file:OptIn(ExperimentalCli::class)

package org.wisteriahinge.app

import com.github.f4b6a3.uuid.UuidCreator
import com.github.michaelbull.result.mapBoth
import com.github.michaelbull.result.onFailure
import java.io.File
import java.time.Duration
import kotlin.system.exitProcess
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.required
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.adapters.lists.readLists
import org.wisteriahinge.adapters.log.HttpPlatformLog
import org.wisteriahinge.adapters.log.REVISION_RECORD_VERSION
import org.wisteriahinge.adapters.log.RevisionCodec
import org.wisteriahinge.adapters.log.RevisionRecord
import org.wisteriahinge.core.configuration.ListTexts
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.runtime.LogStream

internal class PublishCommand : Subcommand("publish", "Publish the two lists") {
    private val customers by option(ArgType.String, "customers").required()
    private val entitlements by option(ArgType.String, "entitlements").required()
    private val replaces by option(ArgType.Int, "replaces").required()
    private val logUrl by option(ArgType.String, "log-url").required()

    override fun execute() {
        val texts = ListTexts(File(customers).readText(), File(entitlements).readText())
        readLists(texts, RevisionNumber(replaces + 1L)).onFailure { faults ->
            faults.forEach(System.err::println)
            exitProcess(ExitCode.USAGE)
        }
        val record = RevisionRecord(
            version = REVISION_RECORD_VERSION,
            publicationId = UuidCreator.getTimeOrderedEpoch().toString(),
            replaces = replaces.toLong(),
            customers = texts.customers,
            entitlements = texts.entitlements
        )
        append(record)
    }

    private fun append(record: RevisionRecord) {
        val payload = RevisionCodec.encode(record)
        HttpPlatformLog(logUrl, Duration.ofSeconds(5)).use { log ->
            log.append(LogStream.Configuration, record.publicationId, persistentListOf(payload))
        }.mapBoth(
            success = { offset -> println("published at offset $offset") },
            failure = {
                System.err.println(it.message)
                exitProcess(ExitCode.FAILED)
            }
        )
    }
}
