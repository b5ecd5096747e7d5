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

/** Whether an instance, [instance] or any if null, may get records of the store late. */
internal fun SoakEvent.delaysPropagation(instance: Int?): Boolean = when (this) {
    is SoakEvent.InstanceStopped -> concerns(this.instance, instance)
    is SoakEvent.UnexpectedExit -> concerns(this.instance, instance)
    is SoakEvent.ConfigurationPublished -> false
    is SoakEvent.FaultInjected -> when (fault) {
        is SoakFault.Restart -> concerns(fault.instance, instance)
        is SoakFault.Kill -> concerns(fault.instance, instance)
        is SoakFault.Pause -> concerns(fault.instance, instance)
        is SoakFault.StoreLink -> concerns(fault.instance, instance)
        is SoakFault.StoreDown -> true
        is SoakFault.HangUp, is SoakFault.TargetLink, is SoakFault.InstanceLinks,
        SoakFault.StoreCompaction,
        is SoakFault.StoreRestore, is SoakFault.SlowTarget, is SoakFault.LimitedTarget,
        is SoakFault.Drain, is SoakFault.CrashingRequest, SoakFault.NewConfiguration -> false
    }
}

/** What happens to a relay excuses the relay itself, and none of the instances that read it. */
private fun concerns(disturbed: Int, instance: Int?): Boolean =
    instance == null || instance == disturbed

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
