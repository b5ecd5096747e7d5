package org.wisteriahinge.app

import org.wisteriahinge.adapters.admin.AdminView
import org.wisteriahinge.adapters.admin.StatusDocument
import org.wisteriahinge.core.configuration.ConfigurationStanding
import org.wisteriahinge.core.configuration.ConfigurationStatus
import org.wisteriahinge.core.lifecycle.Readiness
import org.wisteriahinge.core.model.ListedTargets
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.runtime.LifecycleDuty

/** Readiness and status of a [FrontInstance], for the platform and operators. */
internal class FrontView(
    private val settings: FrontSettings,
    private val lifecycle: LifecycleDuty,
    private val pipeline: CallPipeline
) : AdminView {
    /** The newest revision that came into force. */
    @Volatile
    var revision: RevisionNumber = RevisionNumber.None
        private set

    @Volatile
    private var hasTargets = false

    @Volatile
    private var evacuatedZones: Set<Zone> = emptySet()

    /** Records that targets in [zones] get nothing. */
    fun zonesEvacuated(zones: Set<Zone>) {
        evacuatedZones = zones
    }

    /** Records that revision [next] came into force. */
    fun configurationApplied(next: RevisionNumber) {
        revision = maxOf(revision, next)
    }

    /** Records that [targets] are in use. A later empty list does not end readiness. */
    fun targetsListed(targets: ListedTargets) {
        hasTargets = hasTargets || targets.byService.isNotEmpty()
    }

    private fun configurationStanding(): ConfigurationStanding =
        if (revision > RevisionNumber.None && hasTargets) {
            ConfigurationStanding.Confirmed
        } else {
            ConfigurationStanding.Absent
        }

    override fun readiness(): Readiness = Readiness.of(
        lifecycle.phase,
        ConfigurationStatus(revision, revision, configurationStanding())
    )

    override fun status(): StatusDocument = StatusDocument(
        instance = settings.name,
        zone = settings.zone.value,
        phase = lifecycle.phase.chartName,
        configuration = configurationStanding().wireName,
        revision = revision.value,
        newestKnownRevision = revision.value,
        callsInProgress = pipeline.gateway.callsInProgress,
        callsRingWaiting = pipeline.ring.size,
        callsRingCapacity = pipeline.ring.capacity,
        evacuatedZones = evacuatedZones.map { it.value }.sorted()
    )
}
