package org.wisteriahinge.app.settings

import java.time.Duration
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.app.FrontSettings
import org.wisteriahinge.app.PlatformEndpoints
import org.wisteriahinge.app.PropagationBounds
import org.wisteriahinge.app.RetryBudgetSettings
import org.wisteriahinge.core.clients.ClientLimits
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.Zone

/** Builds the settings of a front instance; call only when there are no errors. */
internal fun SettingValues.toFrontSettings(seed: Long): FrontSettings = FrontSettings(
    name = get(Settings.instanceName),
    zone = Zone(get(Settings.zone)),
    callers = address(get(Settings.callerAddress)),
    ready = address(get(Settings.readyAddress)),
    platform = PlatformEndpoints(
        store = address(get(Settings.storeAddress)),
        relays = get(Settings.relays).split(',').filter { it.isNotEmpty() }.map(::address)
            .toPersistentList(),
        ownRelay = get(Settings.relayAddress).takeIf { it.isNotEmpty() }?.let(::address),
        partitionsPerTopic = long(Settings.storePartitions).toInt()
    ),
    gracePeriod = seconds(Settings.graceSeconds),
    retryBudget = RetryBudgetSettings(
        ratio = get(Settings.retryRatio).toDouble(),
        window = seconds(Settings.retryWindowSeconds),
        hedgeRatio = get(Settings.hedgeRatio).toDouble()
    ),
    defaultTimeout = Duration.ofMillis(long(Settings.defaultTimeoutMillis)),
    maxTimeout = Duration.ofMillis(long(Settings.maxTimeoutMillis)),
    bodyMemoryBytes = long(Settings.bodyMemoryBytes),
    clients = toClientLimits(),
    seed = seed,
    handover = get(Settings.handoverAddress).takeIf { it.isNotEmpty() }?.let(::address),
    bounds = PropagationBounds(
        configuration = millis(Settings.configurationBoundMillis),
        targets = millis(Settings.drainBoundMillis),
        revocation = get(Settings.revocationBoundMillis).takeIf { it.isNotEmpty() }
            ?.let { millis(Settings.revocationBoundMillis) }
    )
)

/** The limits for clients, whose memory is a part of this process's heap. */
internal fun SettingValues.toClientLimits(): ClientLimits = ClientLimits(
    maxDescriptors = int(Settings.maxDescriptors),
    memoryBytes =
    (Runtime.getRuntime().maxMemory() * get(Settings.clientMemoryShare).toDouble()).toLong(),
    answerReadTimeout = Duration.ofSeconds(long(Settings.answerReadTimeoutSeconds))
)

private fun address(text: String): Address =
    Address(text.substringBeforeLast(':'), text.substringAfterLast(':').toInt())
