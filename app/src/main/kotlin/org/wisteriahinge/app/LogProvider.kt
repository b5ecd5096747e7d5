package org.wisteriahinge.app

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.util.LogbackMDCAdapter
import org.slf4j.ILoggerFactory
import org.slf4j.IMarkerFactory
import org.slf4j.helpers.BasicMarkerFactory
import org.slf4j.spi.MDCAdapter
import org.slf4j.spi.SLF4JServiceProvider

/** System property by which SLF4J takes a provider without searching the class path. */
private const val PROVIDER_PROPERTY = "slf4j.provider"

/**
 * Starts Logback with the configuration of [LogConfigurator] only.
 *
 * Logback's own provider ranks all configurators by their annotations and reports on its status,
 * which would delay the start.
 */
public class LogProvider : SLF4JServiceProvider {
    private val context = LoggerContext()
    private val markers = BasicMarkerFactory()
    private val mdc = LogbackMDCAdapter()

    override fun initialize() {
        context.mdcAdapter = mdc
        LogConfigurator().configure(context)
        context.start()
    }

    override fun getLoggerFactory(): ILoggerFactory = context

    override fun getMarkerFactory(): IMarkerFactory = markers

    override fun getMDCAdapter(): MDCAdapter = mdc

    override fun getRequestedApiVersion(): String = "2.0.99"

    internal companion object {
        /** Makes SLF4J use this provider; call before the first logger is created. */
        fun install() {
            System.setProperty(PROVIDER_PROPERTY, LogProvider::class.java.name)
        }
    }
}
