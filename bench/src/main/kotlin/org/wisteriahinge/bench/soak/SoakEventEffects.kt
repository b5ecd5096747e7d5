package org.wisteriahinge.bench.soak

/** The instance that was restarted in this event, or null. */
internal fun SoakEvent.startedInstance(): Int? = when (this) {
    is SoakEvent.InstanceStopped -> instance
    is SoakEvent.UnexpectedExit -> instance
    is SoakEvent.ConfigurationPublished -> null
    is SoakEvent.FaultInjected -> (fault as? SoakFault.Kill)?.instance
}

/** Whether an instance does not keep limits near this event, because it starts or stands still. */
internal fun SoakEvent.stopsInstance(): Boolean =
    startedInstance() != null || (this as? SoakEvent.FaultInjected)?.fault is SoakFault.Pause

internal fun SoakEvent.cutsInstanceLinks(): Boolean =
    (this as? SoakEvent.FaultInjected)?.fault is SoakFault.InstanceLinks

/** Whether instances may get store records late. Any instance may be a relay for others. */
internal fun SoakEvent.delaysPropagation(): Boolean = when (this) {
    is SoakEvent.InstanceStopped, is SoakEvent.UnexpectedExit -> true
    is SoakEvent.ConfigurationPublished -> false
    is SoakEvent.FaultInjected -> when (fault) {
        is SoakFault.Restart, is SoakFault.Kill, is SoakFault.Pause, is SoakFault.StoreLink,
        is SoakFault.StoreDown -> true
        is SoakFault.HangUp, is SoakFault.TargetLink, is SoakFault.InstanceLinks,
        SoakFault.StoreCompaction,
        is SoakFault.StoreRestore, is SoakFault.SlowTarget, is SoakFault.LimitedTarget,
        is SoakFault.Drain, is SoakFault.CrashingRequest, SoakFault.NewConfiguration -> false
    }
}

internal fun SoakEvent.isPlanned(): Boolean = when (this) {
    is SoakEvent.InstanceStopped, is SoakEvent.ConfigurationPublished -> true
    is SoakEvent.UnexpectedExit -> false
    is SoakEvent.FaultInjected -> when (fault) {
        is SoakFault.Restart, is SoakFault.HangUp, is SoakFault.Drain,
        SoakFault.NewConfiguration -> true
        is SoakFault.Kill, is SoakFault.Pause, is SoakFault.TargetLink, is SoakFault.InstanceLinks,
        is SoakFault.StoreLink, is SoakFault.StoreDown, SoakFault.StoreCompaction,
        is SoakFault.StoreRestore, is SoakFault.SlowTarget, is SoakFault.LimitedTarget,
        is SoakFault.CrashingRequest -> false
    }
}
