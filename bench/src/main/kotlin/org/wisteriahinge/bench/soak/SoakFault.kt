package org.wisteriahinge.bench.soak

import java.time.Duration

/** A fault or an operator's action to inject. Instances and targets are given by index. */
internal sealed interface SoakFault {
    /** SIGTERM to an instance, which is restarted once it has exited. */
    data class Restart(val instance: Int) : SoakFault

    /** SIGKILL to an instance, which is restarted at once. */
    data class Kill(val instance: Int) : SoakFault

    /** SIGSTOP, and SIGCONT after [length]. */
    data class Pause(val instance: Int, val length: Duration) : SoakFault

    /** SIGHUP to an instance. */
    data class HangUp(val instance: Int) : SoakFault

    /** The connections to a target behave as [link] for [length]. */
    data class TargetLink(val target: Int, val link: LinkMode, val length: Duration) : SoakFault

    /** The connections of an instance to all targets behave as [link] for [length]. */
    data class InstanceLinks(val instance: Int, val link: LinkMode, val length: Duration) :
        SoakFault

    /** The connections of an instance to the store behave as [link] for [length]. */
    data class StoreLink(val instance: Int, val link: LinkMode, val length: Duration) : SoakFault

    /** The store refuses every call for [length]. */
    data class StoreDown(val length: Duration) : SoakFault

    /** The store drops all but the newest record of each key. */
    data object StoreCompaction : SoakFault

    /** The store comes back from a copy as old as [age], and what it lost is written again. */
    data class StoreRestore(val age: Duration) : SoakFault

    /** A target has a longer service time for [length]. */
    data class SlowTarget(val target: Int, val length: Duration) : SoakFault

    /** A target names a limit of [perSecond] requests over all instances for [length]. */
    data class LimitedTarget(val target: Int, val perSecond: Double, val length: Duration) :
        SoakFault

    /** A target announces that it is draining, and that it is ready again after [length]. */
    data class Drain(val target: Int, val length: Duration) : SoakFault

    /** For [length], a caller sends the request [number], which ends each target that runs it. */
    data class CrashingRequest(val number: Int, val length: Duration) : SoakFault

    /** The operator writes a newer configuration. */
    data object NewConfiguration : SoakFault
}

/** [fault] begins [at] after the start of the traffic. */
internal data class PlannedFault(val at: Duration, val fault: SoakFault)
