package org.wisteriahinge.app.command

import java.time.Duration
import org.wisteriahinge.adapters.log.HttpPlatformLog
import org.wisteriahinge.app.settings.SettingValues
import org.wisteriahinge.app.settings.Settings

/** Opens the log service that [values] name; the caller closes it. */
internal fun openLog(values: SettingValues): HttpPlatformLog = HttpPlatformLog(
    values[Settings.logUrl],
    Duration.ofMillis(values.long(Settings.logTimeoutMillis))
)
