package org.wisteriahinge.app

import org.wisteriahinge.adapters.admin.AdminView
import org.wisteriahinge.adapters.admin.StatusDocument
import org.wisteriahinge.core.lifecycle.Readiness
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.runtime.LifecycleDuty

/** Readiness and status of an [Instance], for operators. */
internal class InstanceView(
    private val zone: Zone,
    private val lifecycle: LifecycleDuty,
    private val pipeline: CallPipeline,
    private val configuration: ConfigurationService
) : AdminView {
    override fun readiness(): Readiness = Readiness.of(lifecycle.phase, configuration.status)

    override fun status(): StatusDocument {
        val held = configuration.status
        return StatusDocument(
            instance = configuration.self.value,
            zone = zone.value,
            phase = lifecycle.phase.chartName,
            configuration = held.standing.wireName,
            revision = held.revision.value,
            newestKnownRevision = held.newestKnown.value,
            callsInProgress = pipeline.gateway.callsInProgress,
            callsRingWaiting = pipeline.ring.size,
            callsRingCapacity = pipeline.ring.capacity
        )
    }
}
