package org.wisteriahinge.app.settings

import java.time.Duration
import org.wisteriahinge.app.FrontSettings
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.Zone

/** The settings of an instance on the platform; call only when there are no faults. */
internal fun SettingValues.toFrontSettings(seed: Long): FrontSettings = FrontSettings(
    name = get(Settings.instanceName),
    zone = Zone(get(Settings.zone)),
    callers = address(Settings.callerAddress),
    ready = address(Settings.readyAddress),
    store = address(Settings.storeAddress),
    grace = seconds(Settings.graceSeconds),
    retryRatio = get(Settings.retryRatio).toDouble(),
    retryWindow = seconds(Settings.retryWindowSeconds),
    defaultTimeout = Duration.ofMillis(long(Settings.defaultTimeoutMillis)),
    maxTimeout = Duration.ofMillis(long(Settings.maxTimeoutMillis)),
    bodyMemoryBytes = long(Settings.bodyMemoryBytes),
    seed = seed
)

private fun SettingValues.address(spec: SettingSpec): Address =
    Address(get(spec).substringBeforeLast(':'), get(spec).substringAfterLast(':').toInt())
