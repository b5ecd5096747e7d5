package org.wisteriahinge.core

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.charts.Chart
import org.wisteriahinge.charts.InvalidChartException
import org.wisteriahinge.core.availability.availabilityChart
import org.wisteriahinge.core.call.attemptChart
import org.wisteriahinge.core.configuration.configurationChart
import org.wisteriahinge.core.crashreport.crashReportsChart
import org.wisteriahinge.core.group.groupChart
import org.wisteriahinge.core.handover.instanceRecordChart
import org.wisteriahinge.core.handover.servicePathChart
import org.wisteriahinge.core.lifecycle.lifecycleChart
import org.wisteriahinge.core.limits.leaseChart
import org.wisteriahinge.core.membership.peerChart
import org.wisteriahinge.core.watch.watchChart

/** The state charts that the decisions interpret. */
public object ChartCatalog {
    /**
     * Loads and validates all charts.
     *
     * Called at startup, so that an invalid file stops the process before it serves callers.
     *
     * @throws InvalidChartException if a chart file is missing or invalid.
     */
    public fun loadAll(): PersistentList<Chart<*, *, *>> = persistentListOf(
        attemptChart,
        availabilityChart,
        configurationChart,
        crashReportsChart,
        groupChart,
        instanceRecordChart,
        lifecycleChart,
        leaseChart,
        peerChart,
        servicePathChart,
        watchChart
    )

    /**
     * Loads and validates the charts of an instance that serves open routes only.
     *
     * @throws InvalidChartException if a chart file is missing or invalid.
     */
    public fun loadForOpenRoutes(): PersistentList<Chart<*, *, *>> = persistentListOf(
        attemptChart,
        availabilityChart,
        crashReportsChart,
        groupChart,
        instanceRecordChart,
        lifecycleChart,
        servicePathChart,
        watchChart
    )
}
