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
    internal val segments: PersistentList<String> = text.split('/').toPersistentList()

    /** Number of segments; templates that differ in it never overlap. */
    public val segmentCount: Int get() = segments.size

    /** Whether [path], without its query, matches. */
    public fun matches(path: String): Boolean {
        val given = path.substringBefore('?').split('/')
        return given.size == segments.size &&
            segments.indices.all { segments[it].isWildcard() || segments[it] == given[it] }
    }

    /** Whether some path matches both templates. */
    public fun overlaps(other: PathTemplate): Boolean = segments.size == other.segments.size &&
        segments.indices.all { index ->
            val own = segments[index]
            val theirs = other.segments[index]
            own == theirs || own.isWildcard() || theirs.isWildcard()
        }
}

internal fun String.isWildcard(): Boolean = startsWith('{') && endsWith('}')
