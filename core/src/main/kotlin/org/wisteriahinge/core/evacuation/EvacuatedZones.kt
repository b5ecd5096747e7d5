package org.wisteriahinge.core.evacuation

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.core.watch.WatchUpdate

/** The [zones] whose targets get no requests, as the operator's records say. */
public data class EvacuatedZones(val zones: PersistentSet<Zone> = persistentHashSetOf()) {
    /** The zones after [update] of the operator's topic. */
    public fun decide(update: WatchUpdate<OperatorRecord>): EvacuatedZones = when (update) {
        // A zone whose record is gone was restored while its removal was not read.
        is WatchUpdate.Newest -> EvacuatedZones().after(update.records)
        is WatchUpdate.Changes -> after(update.records)
        WatchUpdate.Lost, is WatchUpdate.Regained -> this
    }

    private fun after(records: List<OperatorRecord>): EvacuatedZones =
        records.fold(this) { all, record ->
            when (record) {
                is OperatorRecord.ZoneEvacuated -> all.copy(zones = all.zones.add(record.zone))
                is OperatorRecord.ZoneRestored -> all.copy(zones = all.zones.remove(record.zone))
                is OperatorRecord.Configured -> all
            }
        }
}
