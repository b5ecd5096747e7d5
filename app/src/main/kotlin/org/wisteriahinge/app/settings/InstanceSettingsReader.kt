package org.wisteriahinge.app.settings

import java.time.Duration
import org.wisteriahinge.adapters.caller.BodyLimits
import org.wisteriahinge.app.CallSettings
import org.wisteriahinge.app.InstanceSettings
import org.wisteriahinge.app.LogSettings
import org.wisteriahinge.app.PeerSettings
import org.wisteriahinge.app.ProcessSettings
import org.wisteriahinge.core.configuration.ConfigurationTiming
import org.wisteriahinge.core.model.RequestLimits
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.core.once.OnceSettings

/** Builds the settings of an instance; call only when there are no errors. */
internal fun SettingValues.toInstanceSettings(seed: Long): InstanceSettings = InstanceSettings(
    zone = Zone(get(Settings.zone)),
    callerHost = get(Settings.callerHost),
    callerPort = int(Settings.callerPort),
    logUrl = get(Settings.logUrl),
    credentialKey = get(Settings.credentialKey),
    seed = seed,
    log = LogSettings(
        timeout = Duration.ofMillis(long(Settings.logTimeoutMillis)),
        configurationTiming = ConfigurationTiming(
            retention = Duration.ofSeconds(long(Settings.logRetentionSeconds))
        )
    ),
    calls = CallSettings(
        defaultTimeout = Duration.ofMillis(long(Settings.defaultTimeoutMillis)),
        maxTimeout = Duration.ofMillis(long(Settings.maxTimeoutMillis)),
        maxConnectionsPerTarget = int(Settings.maxConnectionsPerTarget),
        body = BodyLimits(
            maxBufferedBytes = int(Settings.bodyBufferBytes),
            maxTotalBufferedBytes = long(Settings.bodyMemoryBytes)
        ),
        bounds = RequestLimits(maxBodyBytes = long(Settings.maxBodyBytes)),
        clients = toClientLimits()
    ),
    process = ProcessSettings(
        adminHost = get(Settings.adminHost),
        adminPort = int(Settings.adminPort),
        drainTime = Duration.ofSeconds(long(Settings.drainSeconds))
    ),
    peers = toPeerSettings(),
    once = OnceSettings(
        keyWindow = Duration.ofSeconds(long(Settings.onceWindowSeconds)),
        appendsPerSecond = int(Settings.onceAppendsPerSecond)
    )
)

private fun SettingValues.toPeerSettings(): PeerSettings? =
    get(Settings.instanceListUrl).takeIf { it.isNotEmpty() }?.let { url ->
        PeerSettings(
            name = get(Settings.instanceName),
            zone = Zone(get(Settings.zone)),
            host = get(Settings.peerHost),
            port = int(Settings.peerPort),
            instanceListUrl = url,
            key = get(Settings.peerKey)
        )
    }
