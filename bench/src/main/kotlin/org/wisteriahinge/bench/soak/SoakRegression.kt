package org.wisteriahinge.bench.soak

import java.time.Duration
import kotlinx.collections.immutable.persistentListOf

/** A soak that once failed, with the cause. */
internal data class SoakRegression(val seed: Long, val size: SoakSize, val cause: String)

private val threeInstances = SoakSize(instances = 3, targets = 6, length = Duration.ofSeconds(20))

/** Every seed that ever failed. */
internal val soakRegressions = persistentListOf(
    SoakRegression(17, threeInstances, "a SIGHUP before its handler was set ended the process"),
    SoakRegression(20, threeInstances, "a SIGHUP before its handler was set ended the process")
)
