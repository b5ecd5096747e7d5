package org.wisteriahinge.app

import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.Zone

/**
 * Settings of an instance on the platform.
 *
 * An instance whose own address [relay] is among the [relays] reads the store for the others.
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
    public val relays: PersistentList<Address>,
    public val relay: Address?,
    public val grace: Duration,
    public val retryRatio: Double,
    public val retryWindow: Duration,
    public val defaultTimeout: Duration,
    public val maxTimeout: Duration,
    public val bodyMemoryBytes: Long,
    public val seed: Long
)
