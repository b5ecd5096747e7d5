package org.wisteriahinge.core.configuration

import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.RevisionNumber

/**
 * A revision as read from the log.
 *
 * [configuration] is null when the published lists do not validate; such a revision is never
 * accepted. [publicationId] lets a publisher find its own record after a lost answer.
 */
public data class PublishedRevision(
    val offset: Long,
    val publicationId: String,
    val replaces: RevisionNumber,
    val configuration: Configuration?
)
