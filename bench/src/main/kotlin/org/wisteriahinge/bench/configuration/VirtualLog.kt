package org.wisteriahinge.bench.configuration

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.configuration.ConfigurationRecord
import org.wisteriahinge.core.configuration.SnapshotRecord

/** The two streams of the configuration in a virtual log. */
internal data class VirtualLog(
    val revisions: PersistentList<ConfigurationRecord> = persistentListOf(),
    val snapshots: PersistentList<SnapshotRecord> = persistentListOf()
) {
    fun revisionsFrom(offset: Long): List<ConfigurationRecord> = revisions.drop(offset.toInt())

    fun snapshotsFrom(offset: Long): List<SnapshotRecord> = snapshots.drop(offset.toInt())
}
