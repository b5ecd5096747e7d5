package org.wisteriahinge.app.command

import java.time.Duration
import org.wisteriahinge.adapters.log.HttpPlatformLog
import org.wisteriahinge.app.settings.SettingValues
import org.wisteriahinge.app.settings.Settings

/** The log that [values] name. */
internal fun openLog(values: SettingValues): HttpPlatformLog = HttpPlatformLog(
    values[Settings.logUrl],
    Duration.ofMillis(values.long(Settings.logTimeoutMillis))
)
