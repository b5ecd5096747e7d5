package org.wisteriahinge.core.model

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

/**
 * A path whose segments in braces match any one segment.
 *
 * ```
 * PathTemplate("/results/{id}").matches("/results/42") // true
 * ```
 */
public data class PathTemplate(val text: String) {
    private val segments: PersistentList<String> = text.split('/').toPersistentList()

    /** Whether [path], without its query, matches. */
    public fun matches(path: String): Boolean {
        val given = path.substringBefore('?').split('/')
        return given.size == segments.size &&
            segments.indices.all { segments[it].isWildcard() || segments[it] == given[it] }
    }

    private fun String.isWildcard() = startsWith('{') && endsWith('}')
}
