package org.wisteriahinge.app

import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.Zone

/**
 * Settings of an instance on the platform.
 *
 * The process ends within [gracePeriod] after SIGTERM.
 */
public class FrontSettings(
    public val name: String,
    public val zone: Zone,
    public val callers: Address,
    public val ready: Address,
    public val platform: PlatformEndpoints,
    public val gracePeriod: Duration,
    public val retryBudget: RetryBudgetSettings,
    public val defaultTimeout: Duration,
    public val maxTimeout: Duration,
    public val bodyMemoryBytes: Long,
    public val seed: Long
)

/** In any [window], a service may get [ratio] of its requests a second time. */
public data class RetryBudgetSettings(val ratio: Double, val window: Duration)

/**
 * Where an instance reads the platform's topics.
 *
 * An instance whose own address [ownRelay] is among the [relays] reads the [store] for the others.
 */
public data class PlatformEndpoints(
    val store: Address,
    val relays: PersistentList<Address> = persistentListOf(),
    val ownRelay: Address? = null
)
