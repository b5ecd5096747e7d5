package org.wisteriahinge.app

import java.time.Duration
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.Zone

/**
 * Settings of an instance on the platform.
 *
 * The process ends within [grace] after SIGTERM. In any [retryWindow], a service may get
 * [retryRatio] of its requests a second time.
 */
public class FrontSettings(
    public val name: String,
    public val zone: Zone,
    public val callers: Address,
    public val ready: Address,
    public val store: Address,
    public val grace: Duration,
    public val retryRatio: Double,
    public val retryWindow: Duration,
    public val defaultTimeout: Duration,
    public val maxTimeout: Duration,
    public val bodyMemoryBytes: Long,
    public val seed: Long
)
