package org.wisteriahinge.runtime

import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentList

/** A record to append to a topic; it replaces the one with the same [key]. */
public class KeyedValue(public val key: String, public val value: ByteArray)

/** Appends records to a topic that other instances follow. Calls block. */
public fun interface TopicWriter {
    /**
     * Appends all of [records] or none. A call that fails may still have taken effect, and may be
     * repeated.
     */
    public fun append(records: PersistentList<KeyedValue>): Result<Unit, TopicFailure>
}
