package org.wisteriahinge.app

import java.time.Duration
import org.wisteriahinge.core.configuration.ConfigurationTiming
import org.wisteriahinge.core.limits.LimitsSettings
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.core.once.OnceSettings

/** Settings of one instance. [credentialKey] is secret and never printed. */
public class InstanceSettings(
    public val zone: Zone,
    public val callerHost: String,
    public val callerPort: Int,
    public val logUrl: String,
    public val credentialKey: String,
    public val seed: Long,
    public val log: LogSettings = LogSettings(),
    public val defaultTimeout: Duration = Duration.ofSeconds(10),
    public val maxTimeout: Duration = Duration.ofMinutes(10),
    public val maxConnectionsPerTarget: Int = 13,
    /** Null for an instance without peers. */
    public val peers: PeerSettings? = null,
    public val once: OnceSettings = OnceSettings(),
    public val limits: LimitsSettings = LimitsSettings()
)

/** How an instance uses the log. [timeout] is for one operation. */
public class LogSettings(
    public val timeout: Duration = Duration.ofSeconds(5),
    public val configurationTiming: ConfigurationTiming = ConfigurationTiming()
)
