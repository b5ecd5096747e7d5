package org.wisteriahinge.app

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.collections.immutable.persistentSetOf
import sun.misc.Signal

private val logger = KotlinLogging.logger {}

/** Commands that run until SIGTERM. */
internal val longRunningCommands = persistentSetOf("run", "front")

/**
 * Makes a process that runs [command] until SIGTERM ignore SIGHUP, which would end it by default.
 *
 * Settings are read only at start, so there is nothing to reload. Call this before anything else,
 * because a SIGHUP may arrive right after the start.
 */
internal fun ignoreHangupSignal(command: String?) {
    if (command !in longRunningCommands) return
    Signal.handle(Signal("HUP")) {
        logger.info { "ignoring SIGHUP; settings are read only at start" }
    }
}
