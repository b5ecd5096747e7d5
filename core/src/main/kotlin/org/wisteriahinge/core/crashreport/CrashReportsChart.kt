package org.wisteriahinge.core.crashreport

import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.charts.Chart
import org.wisteriahinge.charts.ChartName
import org.wisteriahinge.charts.ChartVocabulary
import org.wisteriahinge.charts.loadChartResource

/** The states of the chart `crash-reports`: whether counts of crashes are to be written. */
public sealed class CrashReportsPhase(override val chartName: String) : ChartName {
    public data object Idle : CrashReportsPhase("idle")
    public data object Unwritten : CrashReportsPhase("unwritten")
}

/** The events of the chart `crash-reports`. */
public sealed class CrashReportsTrigger(override val chartName: String) : ChartName {
    public data object Reported : CrashReportsTrigger("reported")
    public data object Written : CrashReportsTrigger("written")
    public data object PartlyWritten : CrashReportsTrigger("partly_written")
    public data object Failed : CrashReportsTrigger("failed")
}

/** The effects of transitions in the chart `crash-reports`. */
public sealed class CrashReportsAction(override val chartName: String) : ChartName {
    public data object WriteSoon : CrashReportsAction("write_soon")
    public data object BackOff : CrashReportsAction("back_off")
    public data object StopWriting : CrashReportsAction("stop_writing")
}

internal val crashReportsChart: Chart<CrashReportsPhase, CrashReportsTrigger, CrashReportsAction>
    by lazy {
        loadChartResource(
            "crash-reports",
            ChartVocabulary(
                states = persistentListOf(CrashReportsPhase.Idle, CrashReportsPhase.Unwritten),
                events = persistentListOf(
                    CrashReportsTrigger.Reported,
                    CrashReportsTrigger.Written,
                    CrashReportsTrigger.PartlyWritten,
                    CrashReportsTrigger.Failed
                ),
                effects = persistentListOf(
                    CrashReportsAction.WriteSoon,
                    CrashReportsAction.BackOff,
                    CrashReportsAction.StopWriting
                )
            )
        )
    }
