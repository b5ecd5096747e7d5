package org.wisteriahinge.core.handover

import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.charts.Chart
import org.wisteriahinge.charts.ChartName
import org.wisteriahinge.charts.ChartVocabulary
import org.wisteriahinge.charts.loadChartResource

/** The states of the chart `instance-record`: whether the store lists this instance. */
public sealed class RecordPhase(override val chartName: String) : ChartName {
    public data object Unwritten : RecordPhase("unwritten")
    public data object Listed : RecordPhase("listed")

    /** The record is to be removed, because this instance stops. */
    public data object Leaving : RecordPhase("leaving")
    public data object Removed : RecordPhase("removed")
}

/** The events of the chart `instance-record`. */
public sealed class RecordTrigger(override val chartName: String) : ChartName {
    public data object Written : RecordTrigger("written")
    public data object Failed : RecordTrigger("failed")
    public data object Missing : RecordTrigger("missing")
    public data object Leaving : RecordTrigger("leaving")
}

/** The effects of transitions in the chart `instance-record`. */
public sealed class RecordAction(override val chartName: String) : ChartName {
    public data object WriteNow : RecordAction("write_now")
    public data object BackOff : RecordAction("back_off")
    public data object StopWriting : RecordAction("stop_writing")
}

internal val instanceRecordChart: Chart<RecordPhase, RecordTrigger, RecordAction> by lazy {
    loadChartResource(
        "instance-record",
        ChartVocabulary(
            states = persistentListOf(
                RecordPhase.Unwritten,
                RecordPhase.Listed,
                RecordPhase.Leaving,
                RecordPhase.Removed
            ),
            events = persistentListOf(
                RecordTrigger.Written,
                RecordTrigger.Failed,
                RecordTrigger.Missing,
                RecordTrigger.Leaving
            ),
            effects = persistentListOf(
                RecordAction.WriteNow,
                RecordAction.BackOff,
                RecordAction.StopWriting
            )
        )
    )
}
