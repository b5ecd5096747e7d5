package org.wisteriahinge.core.lifecycle

import org.wisteriahinge.core.configuration.ConfigurationStanding
import org.wisteriahinge.core.configuration.ConfigurationStatus

/** Whether the platform should route callers to this instance. [reason] is shown to operators. */
public sealed class Readiness(public val isReady: Boolean, public val reason: String) {
    public data object Ready : Readiness(true, "serving")
    public data object Starting : Readiness(false, "starting")
    public data object Draining : Readiness(false, "draining")
    public data object NoConfiguration : Readiness(false, "no_configuration")

    public companion object {
        /** The readiness of an instance in [phase] with [configuration]. */
        public fun of(phase: LifecyclePhase, configuration: ConfigurationStatus): Readiness =
            when (phase) {
                LifecyclePhase.Starting -> Starting
                LifecyclePhase.Leaving,
                LifecyclePhase.Draining,
                LifecyclePhase.Stopped -> Draining
                LifecyclePhase.Serving -> when (configuration.standing) {
                    ConfigurationStanding.Absent -> NoConfiguration
                    ConfigurationStanding.Confirmed, ConfigurationStanding.Unconfirmed -> Ready
                }
            }
    }
}
