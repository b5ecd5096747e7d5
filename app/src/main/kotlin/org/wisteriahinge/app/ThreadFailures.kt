package org.wisteriahinge.app

import io.github.oshai.kotlinlogging.KotlinLogging

private val logger = KotlinLogging.logger {}

/**
 * Ends a process that runs [command] until SIGTERM when one of its threads ends by an error.
 *
 * Without one of its duties the process would go on with old targets, an old configuration or
 * unanswered calls; the platform starts a new one.
 */
internal fun endProcessOnThreadFailure(command: String?) {
    if (command !in longRunningCommands) return
    Thread.setDefaultUncaughtExceptionHandler { thread, cause ->
        try {
            logger.error(cause) { "thread ${thread.name} failed; ending the process" }
        } finally {
            Runtime.getRuntime().halt(ExitCode.FAILED)
        }
    }
}
