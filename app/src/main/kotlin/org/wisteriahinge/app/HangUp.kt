package org.wisteriahinge.app

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.collections.immutable.persistentSetOf
import sun.misc.Signal

private val logger = KotlinLogging.logger {}

/** Commands that run until SIGTERM. */
private val longRunningCommands = persistentSetOf("run", "front")

/**
 * Keeps a process that runs [command] alive at SIGHUP, which would end it.
 *
 * The settings are the command line, so that there is nothing to reload. Called first of all,
 * because a SIGHUP may follow a start at once.
 */
internal fun ignoreHangupSignal(command: String?) {
    if (command !in longRunningCommands) return
    Signal.handle(Signal("HUP")) {
        logger.info { "SIGHUP: settings take effect at a start" }
    }
}
