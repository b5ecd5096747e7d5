package org.wisteriahinge.app.command

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import java.io.File
import java.io.IOException
import org.wisteriahinge.adapters.lists.ListFileNames
import org.wisteriahinge.adapters.lists.readLists
import org.wisteriahinge.core.configuration.ListTexts
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.RevisionNumber

/** Paths of the files with the lists of customers and entitlements. */
internal data class ListFiles(val customers: String, val entitlements: String) {
    /** Reads and validates both files; errors name the file. */
    fun read(): Result<ValidatedLists, List<String>> =
        readFile(customers).flatMap { customersText ->
            readFile(entitlements).flatMap { entitlementsText ->
                val texts = ListTexts(customersText, entitlementsText)
                readLists(texts, RevisionNumber(1), ListFileNames(customers, entitlements))
                    .map { ValidatedLists(texts, it) }
                    .mapError { errors -> errors.map { it.toString() } }
            }
        }

    private fun readFile(path: String): Result<String, List<String>> = try {
        Ok(File(path).readText())
    } catch (e: IOException) {
        Err(listOf("cannot read '$path' (${e.message}); name a readable file"))
    }
}

/** Validated lists with their source texts. */
internal data class ValidatedLists(val texts: ListTexts, val configuration: Configuration)
