package org.wisteriahinge.adapters.lists

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlConfiguration
import com.charleskorn.kaml.YamlException
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import com.github.michaelbull.result.zip
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.DeserializationStrategy
import org.wisteriahinge.core.configuration.ListTexts
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.RevisionNumber

/** File name of the customers' list, used in faults. */
public const val CUSTOMERS_FILE: String = "customers.yaml"

/** File name of the list of what each plan may use, used in faults. */
public const val ENTITLEMENTS_FILE: String = "entitlements.yaml"

private val yaml = Yaml(configuration = YamlConfiguration(strictMode = true))

/** What faults call the two lists. */
public data class ListNames(
    val customers: String = CUSTOMERS_FILE,
    val entitlements: String = ENTITLEMENTS_FILE
)

/** Reads both lists as revision [revision], or returns their faults. */
public fun readLists(
    texts: ListTexts,
    revision: RevisionNumber,
    names: ListNames = ListNames()
): Result<Configuration, PersistentList<ListFault>> = zip(
    { decode(names.customers, texts.customers, CustomersDocument.serializer()) },
    { decode(names.entitlements, texts.entitlements, EntitlementsDocument.serializer()) }
) { customers, entitlements -> customers to entitlements }
    .flatMap { (customers, entitlements) ->
        val faults = validate(customers, entitlements)
        if (faults.isEmpty()) Ok(customers to entitlements) else Err(faults)
    }
    .map { (customers, entitlements) ->
        Configuration(revision, customers.toModel(), entitlements.toModel())
    }

private fun <T> decode(
    file: String,
    text: String,
    deserializer: DeserializationStrategy<T>
): Result<T, PersistentList<ListFault>> = try {
    Ok(yaml.decodeFromString(deserializer, text))
} catch (e: YamlException) {
    Err(persistentListOf(ListFault(file, e.line, e.message)))
}
