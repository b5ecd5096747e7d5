package org.wisteriahinge.app

import org.wisteriahinge.adapters.admin.AdminView
import org.wisteriahinge.adapters.admin.StatusDocument
import org.wisteriahinge.core.configuration.ConfigurationStanding
import org.wisteriahinge.core.configuration.ConfigurationStatus
import org.wisteriahinge.core.lifecycle.Readiness
import org.wisteriahinge.core.model.ListedTargets
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.runtime.LifecycleDuty

/** What the platform and operators see of an instance on the platform. */
internal class FrontView(
    private val settings: FrontSettings,
    private val lifecycle: LifecycleDuty,
    private val pipeline: CallPipeline
) : AdminView {
    /** The newest configuration that came into force. */
    @Volatile
    var revision: RevisionNumber = RevisionNumber.None
        private set

    @Volatile
    private var hasTargets = false

    /** The configuration [next] came into force. */
    fun configurationApplied(next: RevisionNumber) {
        revision = maxOf(revision, next)
    }

    /** [targets] are in use. An instance stays ready when the list becomes empty later. */
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
        callsRingCapacity = pipeline.ring.capacity
    )
}
