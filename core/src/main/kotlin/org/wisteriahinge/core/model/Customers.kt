package org.wisteriahinge.core.model

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/** Whether calls with a credential, or of a customer, are accepted. */
public sealed interface Standing {
    public data object Active : Standing
    public data object Revoked : Standing
}

/** A caller's credential. [keyedHash] is HMAC-SHA-256 of the secret, in lower-case hexadecimal. */
public data class Credential(val id: CredentialId, val keyedHash: String, val standing: Standing)

/** A customer with its plan and the credentials of its callers. */
public data class Customer(
    val id: CustomerId,
    val plan: PlanId,
    val credentials: PersistentList<Credential>,
    val standing: Standing
)

/** The operators' list of customers and their plans. */
public data class Customers(val byId: PersistentMap<CustomerId, Customer>) {
    private val byCredential: PersistentMap<CredentialId, CredentialOwner> =
        byId.values.fold(persistentHashMapOf()) { owners, customer ->
            customer.credentials.fold(owners) { all, credential ->
                all.put(credential.id, CredentialOwner(customer, credential))
            }
        }

    /** The credential [id] with its customer; null if there is none. */
    public fun owner(id: CredentialId): CredentialOwner? = byCredential[id]
}

/** A credential together with the customer that it belongs to. */
public data class CredentialOwner(val customer: Customer, val credential: Credential)
