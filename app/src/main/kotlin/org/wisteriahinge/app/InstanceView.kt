package org.wisteriahinge.app

import org.wisteriahinge.adapters.admin.AdminView
import org.wisteriahinge.adapters.admin.StatusDocument
import org.wisteriahinge.adapters.caller.CallGateway
import org.wisteriahinge.core.lifecycle.Readiness
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.runtime.CallMessage
import org.wisteriahinge.runtime.LifecycleDuty
import org.wisteriahinge.runtime.Ring

/** What operators see of a running instance. */
internal class InstanceView(
    private val zone: Zone,
    private val lifecycle: LifecycleDuty,
    private val gateway: CallGateway,
    private val callsRing: Ring<CallMessage>,
    private val configuration: ConfigurationPart
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
            callsInProgress = gateway.callsInProgress,
            callsRingWaiting = callsRing.size,
            callsRingCapacity = callsRing.capacity
        )
    }
}
