package org.wisteriahinge.core.configuration

import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.RevisionNumber

/** The text of the operators' two lists, as published. */
public data class ListTexts(val customers: String, val entitlements: String)

/**
 * Reads the published lists; the format is not part of the decisions.
 *
 * An implementation is pure: the same texts always give the same result.
 */
public fun interface ListReader {
    /** The configuration in [lists] as [revision]; null when the lists do not validate. */
    public fun read(lists: ListTexts, revision: RevisionNumber): Configuration?
}
