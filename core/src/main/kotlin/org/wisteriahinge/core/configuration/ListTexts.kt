package org.wisteriahinge.core.configuration

import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.RevisionNumber

/** The two lists that operators publish, customers and entitlements, in their text format. */
public data class ListTexts(val customers: String, val entitlements: String)

/**
 * Parses published lists. Implemented outside this module, so that decisions do not depend on the
 * text format.
 *
 * An implementation must be pure: the same texts always give the same result.
 */
public fun interface ListReader {
    /** Returns the configuration in [lists] as number [revision], or null if they are invalid. */
    public fun read(lists: ListTexts, revision: RevisionNumber): Configuration?
}
