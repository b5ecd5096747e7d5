package org.wisteriahinge.app

import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.clients.ClientLimits
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.Zone

/**
 * Settings of a [FrontInstance].
 *
 * The process ends within [gracePeriod] after SIGTERM. At [handover] it takes calls from instances
 * that cannot reach the targets; null if it neither takes nor hands over calls. It knows what the
 * store accepted within [bounds].
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
    public val seed: Long,
    public val handover: Address? = null,
    public val bounds: PropagationBounds = PropagationBounds(),
    public val clients: ClientLimits = ClientLimits()
)

internal const val DEFAULT_PARTITIONS_PER_TOPIC: Int = 12

/** Hedges are limited by the retry budget only. */
public const val UNLIMITED_HEDGE_RATIO: Double = 1.0

/**
 * Within any [window], at most [ratio] of the requests of a service may be sent again. Among these
 * are hedges for at most [hedgeRatio] of its repeatable requests; 0 turns hedges off.
 */
public data class RetryBudgetSettings(
    val ratio: Double,
    val window: Duration,
    val hedgeRatio: Double = UNLIMITED_HEDGE_RATIO
)

/**
 * Addresses at which an instance reads the platform's topics.
 *
 * An instance whose [ownRelay] is among the [relays] is a relay: it serves the topics that it reads
 * to other instances, so that these need not read the [store]. A topic of the store has
 * [partitionsPerTopic] partitions.
 */
public data class PlatformEndpoints(
    val store: Address,
    val relays: PersistentList<Address> = persistentListOf(),
    val ownRelay: Address? = null,
    val partitionsPerTopic: Int = DEFAULT_PARTITIONS_PER_TOPIC
)
