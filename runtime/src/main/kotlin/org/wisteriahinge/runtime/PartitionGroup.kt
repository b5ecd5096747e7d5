package org.wisteriahinge.runtime

import com.github.michaelbull.result.Result
import java.time.Duration
import kotlinx.collections.immutable.PersistentSet

/** The partitions of a member, as of the [generation] of its group. */
public class HeldPartitions(public val generation: Long, public val partitions: PersistentSet<Int>)

/** Why a call to the group failed. */
public class GroupFailure(public val message: String)

/**
 * A group whose members divide a fixed number of partitions among them. Calls block.
 *
 * A partition goes to another member only after its holder has joined with the generation in which
 * it no longer holds it, has left, or has not joined for its term.
 */
public interface PartitionGroup {
    /**
     * Joins the group or stays in it for [term]. [generation] is the newest that was received, 0
     * for none; it confirms that the partitions of that generation are in use.
     */
    public fun join(generation: Long, term: Duration): Result<HeldPartitions, GroupFailure>

    /** Leaves the group, so that its partitions go to other members at once. */
    public fun leave(): Result<Unit, GroupFailure>
}
