package org.wisteriahinge.adapters.lists

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

/** Checks what the types of the documents cannot express. */
internal fun validate(
    customers: CustomersDocument,
    entitlements: EntitlementsDocument
): PersistentList<ListFault> {
    val plans = entitlements.plans.map { it.name }
    val operations = entitlements.services.flatMap { service ->
        service.operations.map { "${service.name}/${it.name}" }
    }
    val unknownPlans = customers.customers.filter { it.plan !in plans }.map {
        ListFault(CUSTOMERS_FILE, 0, "customer '${it.name}' has unknown plan '${it.plan}'")
    }
    val unknownOperations = entitlements.plans.flatMap { plan ->
        plan.operations.filter { it !in operations }.map {
            ListFault(ENTITLEMENTS_FILE, 0, "plan '${plan.name}' has unknown operation '$it'")
        }
    }
    return (unknownPlans + unknownOperations).toPersistentList()
}
