package org.wisteriahinge.app

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.Configurator.ExecutionStatus
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.spi.ContextAwareBase

private const val LEVEL_VARIABLE = "WISTERIAHINGE_LOG_LEVEL"

/**
 * Writes the log as JSON lines to the standard error.
 *
 * Configured in code, because reading a configuration file takes a quarter of the start-up time.
 */
public class LogConfigurator :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): ExecutionStatus {
        val json = JsonEncoder().apply {
            this.context = context
            setWithSequenceNumber(false)
            setWithNanoseconds(false)
            setWithContext(false)
            setWithMessage(false)
            setWithFormattedMessage(true)
            start()
        }
        val console = ConsoleAppender<ILoggingEvent>().apply {
            this.context = context
            target = "System.err"
            encoder = json
            start()
        }
        context.getLogger(Logger.ROOT_LOGGER_NAME).apply {
            level = Level.toLevel(System.getenv(LEVEL_VARIABLE), Level.INFO)
            addAppender(console)
        }
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }
}
