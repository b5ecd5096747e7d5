package org.wisteriahinge.core.configuration

import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.RevisionNumber

/** The configuration in force, as the records of the log up to [nextOffset] decide it. */
public data class ConfigurationState(
    val inForce: Configuration = Configuration.Empty,
    val nextOffset: Long = 0
) {
    /**
     * Takes over [published] if it replaces the revision in force and its lists are valid.
     *
     * The first such record in the log wins; every instance decides the same from the same log.
     */
    public fun accept(published: PublishedRevision): ConfigurationState {
        val read = copy(nextOffset = maxOf(nextOffset, published.offset + 1))
        val next = published.configuration ?: return read
        val follows = published.replaces == inForce.revision &&
            next.revision == RevisionNumber(inForce.revision.value + 1)
        return if (follows) read.copy(inForce = next) else read
    }
}
