package org.wisteriahinge.core.model

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/**
 * A trie of operations by method and path segments.
 *
 * The cost of a search depends on the number of segments and not on that of the operations. With
 * 260 services, a linear search would take longer than the rest of a decision.
 */
internal data class PathIndex(
    private val literals: PersistentMap<String, PathIndex> = persistentHashMapOf(),
    private val wildcard: PathIndex? = null,
    private val operation: MatchedOperation? = null
) {
    /** Adds [added] at [segments], the method and the path; an operation added before is kept. */
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

    /** The operation for [segments] from [index] on; literals are preferred over wildcards. */
    fun find(segments: List<String>, index: Int = 0): MatchedOperation? {
        if (index == segments.size) return operation
        return literals[segments[index]]?.find(segments, index + 1)
            ?: wildcard?.find(segments, index + 1)
    }
}
