package org.wisteriahinge.bench.configuration

import java.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.configuration.ConfigurationState
import org.wisteriahinge.core.configuration.ListReader
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.InstanceId

/**
 * An instance and its positions in the log. [appliedAt] keeps when each revision first came into
 * force;
 * [highest] and [reverted] cover all incarnations.
 */
internal data class SpreadInstance(
    val incarnation: Int,
    val state: ConfigurationState,
    val loaded: Boolean = false,
    val readFrom: Long = 0,
    val snapshotsFrom: Long = 0,
    val appliedAt: PersistentMap<Long, Instant> = persistentHashMapOf(),
    val highest: Long = 0,
    val reverted: Int = 0
) {
    fun apply(revision: Long, now: Instant): SpreadInstance = copy(
        appliedAt = if (revision in appliedAt) appliedAt else appliedAt.put(revision, now),
        highest = maxOf(highest, revision),
        reverted = if (revision < highest) reverted + 1 else reverted
    )
}

internal fun instanceId(index: Int, incarnation: Int) = InstanceId("instance-$index#$incarnation")

/** Lists are only names here; their format is not measured. */
private val namedLists = ListReader { _, revision -> Configuration.Empty.copy(revision = revision) }

internal fun newInstance(index: Int, incarnation: Int, now: Instant) = SpreadInstance(
    incarnation = incarnation,
    state = ConfigurationState(
        self = instanceId(index, incarnation),
        reader = namedLists,
        startedAt = now
    )
)
