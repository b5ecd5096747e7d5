package org.wisteriahinge.core.model

import kotlinx.collections.immutable.persistentHashMapOf

/** Number of an accepted configuration; it only grows. 0 means that none was accepted yet. */
@JvmInline
public value class RevisionNumber(public val value: Long) : Comparable<RevisionNumber> {
    override fun compareTo(other: RevisionNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        public val None: RevisionNumber = RevisionNumber(0)
    }
}

/**
 * The operators' two lists at one revision.
 *
 * [requestLimits] replace those of the instance's settings; null where the lists set none.
 */
public data class Configuration(
    val revision: RevisionNumber,
    val customers: Customers,
    val entitlements: Entitlements,
    val requestLimits: RequestLimits? = null
) {
    public companion object {
        /** In force before the first revision: no customers and no services. */
        public val Empty: Configuration = Configuration(
            revision = RevisionNumber.None,
            customers = Customers(persistentHashMapOf()),
            entitlements = Entitlements(persistentHashMapOf(), persistentHashMapOf())
        )
    }
}
