package org.wisteriahinge.app

import java.time.Duration
import org.wisteriahinge.adapters.caller.BodyLimits
import org.wisteriahinge.core.clients.ClientLimits
import org.wisteriahinge.core.configuration.ConfigurationTiming
import org.wisteriahinge.core.limits.LimitsSettings
import org.wisteriahinge.core.model.RequestLimits
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.core.once.OnceSettings

/** Settings of an [Instance]. [credentialKey] is secret and must not be printed. */
public class InstanceSettings(
    public val zone: Zone,
    public val callerHost: String,
    public val callerPort: Int,
    public val logUrl: String,
    public val credentialKey: String,
    public val seed: Long,
    public val log: LogSettings = LogSettings(),
    /** Null for an instance without peers. */
    public val peers: PeerSettings? = null,
    public val once: OnceSettings = OnceSettings(),
    public val calls: CallSettings = CallSettings(),
    public val process: ProcessSettings = ProcessSettings(),
    public val limits: LimitsSettings = LimitsSettings()
)

/** Limits on the duration, the bodies and the connections of calls. */
public data class CallSettings(
    val defaultTimeout: Duration = Duration.ofSeconds(10),
    val maxTimeout: Duration = Duration.ofMinutes(10),
    val maxConnectionsPerTarget: Int = 13,
    val body: BodyLimits = BodyLimits(),
    val bounds: RequestLimits = RequestLimits(),
    val clients: ClientLimits = ClientLimits()
)

/** Address of the admin server, and how long calls in progress may last after SIGTERM. */
public data class ProcessSettings(
    val adminHost: String = "127.0.0.1",
    val adminPort: Int = 0,
    val drainTime: Duration = Duration.ofSeconds(20)
)

/** How an instance uses the log. [timeout] applies to each operation. */
public class LogSettings(
    public val timeout: Duration = Duration.ofSeconds(5),
    public val configurationTiming: ConfigurationTiming = ConfigurationTiming()
)
