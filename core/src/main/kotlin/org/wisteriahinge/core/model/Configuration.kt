package org.wisteriahinge.core.model

import kotlinx.collections.immutable.persistentHashMapOf

/** Increasing number of an accepted configuration; 0 if none was accepted yet. */
@JvmInline
public value class RevisionNumber(public val value: Long) : Comparable<RevisionNumber> {
    override fun compareTo(other: RevisionNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        public val None: RevisionNumber = RevisionNumber(0)
    }
}

/**
 * The two lists of the operators, [customers] and [entitlements], at one [revision].
 *
 * [requestLimits] override those of the instance's settings; null if the lists set none. [keyed]
 * are the customers of routes; null if callers of routes need no key.
 */
public data class Configuration(
    val revision: RevisionNumber,
    val customers: Customers,
    val entitlements: Entitlements,
    val requestLimits: RequestLimits? = null,
    val keyed: KeyedCustomers? = null
) {
    public companion object {
        /** The configuration before the first revision: no customers and no services. */
        public val Empty: Configuration = Configuration(
            revision = RevisionNumber.None,
            customers = Customers(persistentHashMapOf()),
            entitlements = Entitlements(persistentHashMapOf(), persistentHashMapOf())
        )
    }
}
