package org.wisteriahinge.core.model

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/**
 * Operations by the segments of their paths.
 *
 * A search costs one look-up for each segment, whatever the number of operations; with 260
 * services a search through all of them would take longer than the rest of a decision.
 */
internal data class PathIndex(
    private val literals: PersistentMap<String, PathIndex> = persistentHashMapOf(),
    private val wildcard: PathIndex? = null,
    private val operation: MatchedOperation? = null
) {
    /** Adds [added] below the method and path [segments]; an earlier operation stays. */
    fun add(segments: List<String>, added: MatchedOperation): PathIndex {
        val segment = segments.firstOrNull() ?: return copy(operation = operation ?: added)
        val rest = segments.drop(1)
        return if (segment.isWildcard()) {
            copy(wildcard = (wildcard ?: PathIndex()).add(rest, added))
        } else {
            val child = literals[segment] ?: PathIndex()
            copy(literals = literals.put(segment, child.add(rest, added)))
        }
    }

    /** The operation for [segments]; a literal segment comes before a wildcard. */
    fun find(segments: List<String>, index: Int = 0): MatchedOperation? {
        if (index == segments.size) return operation
        return literals[segments[index]]?.find(segments, index + 1)
            ?: wildcard?.find(segments, index + 1)
    }
}
