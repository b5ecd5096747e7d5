package org.wisteriahinge.core.directory

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentSet
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.core.watch.WatchUpdate

/** A record that the operator writes. */
public sealed interface OperatorRecord {
    /** The newest [configuration]. */
    public data class Configured(val configuration: Configuration) : OperatorRecord

    /** Nothing is to be sent to targets in [zone]. */
    public data class ZoneEvacuated(val zone: Zone) : OperatorRecord

    /** Targets in [zone] may be used again. */
    public data class ZoneTakenBack(val zone: Zone) : OperatorRecord
}

/** The zones that the operator evacuates, as far as the records that were read tell. */
public data class Evacuations(val zones: PersistentSet<Zone> = persistentSetOf()) {
    /** Applies an update of the operator's topic. */
    public fun decide(update: WatchUpdate<OperatorRecord>): Evacuations = when (update) {
        is WatchUpdate.Newest -> Evacuations(zonesIn(update.records))
        is WatchUpdate.Changes -> update.records.fold(this) { all, record -> all.with(record) }
        WatchUpdate.Lost, is WatchUpdate.Regained -> this
    }

    private fun zonesIn(records: PersistentList<OperatorRecord>): PersistentSet<Zone> = records
        .filterIsInstance<OperatorRecord.ZoneEvacuated>()
        .map { it.zone }
        .toPersistentSet()

    private fun with(record: OperatorRecord): Evacuations = when (record) {
        is OperatorRecord.Configured -> this
        is OperatorRecord.ZoneEvacuated -> copy(zones = zones.add(record.zone))
        is OperatorRecord.ZoneTakenBack -> copy(zones = zones.remove(record.zone))
    }
}
