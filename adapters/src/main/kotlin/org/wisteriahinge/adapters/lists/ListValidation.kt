package org.wisteriahinge.adapters.lists

import kotlinx.collections.immutable.persistentHashMapOf

private val NAME = Regex("[a-z0-9][a-z0-9._-]{0,99}")
private val KEYED_HASH = Regex("[0-9a-f]{64}")
private const val NAME_RULE =
    "use 1 to 100 lower-case letters, digits, dots, dashes and underscores"

/** The name of an entry in a list, and the path to the node that holds it. */
internal class NamedEntry(val name: String, val path: List<Any>)

/**
 * Validates the names, plans and hashes in [list], which decoding does not check. Returns all
 * faults found. Plans are checked only if [entitlements] could be decoded.
 */
internal fun customerFaults(
    list: LocatedList<CustomersDocument>,
    entitlements: EntitlementsDocument?
): List<ListFault> {
    val customers = list.content.customers
    val plans = entitlements?.plans?.map { it.name }?.toSet()
    val names = customers.mapIndexed { index, entry ->
        NamedEntry(entry.name, listOf("customers", index, "name"))
    }
    val credentials = customers.flatMapIndexed { index, customer ->
        customer.credentials.mapIndexed { position, entry ->
            NamedEntry(entry.id, listOf("customers", index, "credentials", position, "id"))
        }
    }
    return list.nameFaults("customer", names) +
        list.nameFaults("credential", credentials) +
        customers.flatMapIndexed { index, customer ->
            list.unknownPlanFaults(index, customer, plans) + list.hashFaults(index, customer)
        }
}

private fun LocatedList<*>.unknownPlanFaults(
    index: Int,
    customer: CustomerEntry,
    plans: Set<String>?
): List<ListFault> = if (plans == null || customer.plan in plans) {
    emptyList()
} else {
    listOf(
        fault(
            "customer '${customer.name}' has unknown plan '${customer.plan}'; use one of " +
                plans.joinToString(),
            "customers",
            index,
            "plan"
        )
    )
}

private fun LocatedList<*>.hashFaults(index: Int, customer: CustomerEntry) =
    customer.credentials.mapIndexedNotNull { position, credential ->
        fault(
            "credential '${credential.id}' has a keyed_hash that is not 64 lower-case " +
                "hexadecimal digits; make it with 'wisteriahinge hash-secret'",
            "customers",
            index,
            "credentials",
            position,
            "keyed_hash"
        ).takeIf { !KEYED_HASH.matches(credential.keyedHash) }
    }

/** Faults for the malformed names among [names], and for those that occur earlier in the list. */
internal fun LocatedList<*>.nameFaults(kind: String, names: List<NamedEntry>): List<ListFault> {
    val malformed = names.filter { !NAME.matches(it.name) }.map {
        faultAt(it.path, "$kind name '${it.name}' has a wrong form; $NAME_RULE")
    }
    val first = names.foldIndexed(persistentHashMapOf<String, Int>()) { index, all, named ->
        if (named.name in all) all else all.put(named.name, index)
    }
    return malformed + names.filterIndexed { index, named -> first[named.name] != index }.map {
        faultAt(it.path, "$kind '${it.name}' is listed twice; rename or remove one")
    }
}
