package org.wisteriahinge.adapters.lists

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlConfiguration
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlScalar
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.DeserializationStrategy
import org.wisteriahinge.core.configuration.ListTexts
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.RevisionNumber

/** File name of the list of customers. */
public const val CUSTOMERS_FILE: String = "customers.yaml"

/** File name of the list of services, plans and routes. */
public const val ENTITLEMENTS_FILE: String = "entitlements.yaml"

private val yaml = Yaml(configuration = YamlConfiguration(strictMode = true))

/** The file names that faults report for the two lists. */
public data class ListFileNames(
    val customers: String = CUSTOMERS_FILE,
    val entitlements: String = ENTITLEMENTS_FILE
)

/**
 * Parses and validates both lists as the configuration [revision], or returns the faults of both.
 *
 * Faults name the files as [names] gives them.
 */
public fun readLists(
    texts: ListTexts,
    revision: RevisionNumber,
    names: ListFileNames = ListFileNames()
): Result<Configuration, PersistentList<ListFault>> {
    val customers = decode(names.customers, texts.customers, CustomersDocument.serializer())
    val entitlements =
        decode(names.entitlements, texts.entitlements, EntitlementsDocument.serializer())
    val decodedCustomers = customers.get()
    val decodedEntitlements = entitlements.get()
    val faults = listOfNotNull(customers.getError(), entitlements.getError()).flatten() +
        decodedCustomers?.let { customerFaults(it, decodedEntitlements?.content) }.orEmpty() +
        decodedEntitlements?.let(::entitlementFaults).orEmpty()
    return if (decodedCustomers == null || decodedEntitlements == null || faults.isNotEmpty()) {
        Err(faults.toPersistentList())
    } else {
        Ok(
            Configuration(
                revision,
                decodedCustomers.content.toModel(),
                decodedEntitlements.content.toModel()
            )
        )
    }
}

/** A decoded list with the YAML nodes that it was decoded from, which give faults their lines. */
internal class LocatedList<T>(
    private val file: String,
    private val root: YamlNode,
    val content: T
) {
    /** A fault at the node at [path], which consists of keys of maps and positions in lists. */
    fun fault(problem: String, vararg path: Any): ListFault = faultAt(path.toList(), problem)

    /** A fault at the node at [path]; see [fault]. */
    fun faultAt(path: List<Any>, problem: String): ListFault =
        ListFault(file, lineOf(root, path), problem)
}

private fun <T> decode(
    file: String,
    text: String,
    deserializer: DeserializationStrategy<T>
): Result<LocatedList<T>, PersistentList<ListFault>> = try {
    val root = yaml.parseToYamlNode(text)
    checkFormat(file, root).flatMap {
        Ok(LocatedList(file, root, yaml.decodeFromYamlNode(deserializer, root)))
    }
} catch (e: YamlException) {
    Err(persistentListOf(ListFault(file, e.line, e.message)))
}

/**
 * Checks the format before the list is decoded. Another format may have other fields, and faults
 * about unknown fields would hide the cause.
 */
private fun checkFormat(file: String, root: YamlNode): Result<Unit, PersistentList<ListFault>> {
    val format = (root as? YamlMap)?.get<YamlScalar>("format") ?: return Ok(Unit)
    return if (format.content == LIST_FORMAT.toString()) {
        Ok(Unit)
    } else {
        val problem = "format '${format.content}' is not read by this version; use $LIST_FORMAT " +
            "or a newer version of wisteriahinge"
        Err(persistentListOf(ListFault(file, format.location.line, problem)))
    }
}
