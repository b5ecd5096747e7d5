package org.wisteriahinge.core.limits

import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.charts.Chart
import org.wisteriahinge.charts.ChartName
import org.wisteriahinge.charts.ChartVocabulary
import org.wisteriahinge.charts.loadChartResource

/** This instance's lease on a part of one customer's allowance, as in `charts/lease.yaml`. */
public sealed class LeaseState(override val chartName: String) : ChartName {
    /** No leased share; only the static share may be used. */
    public data object Idle : LeaseState("idle")

    /** A share was requested and its record is not read back yet. */
    public data object Requested : LeaseState("requested")

    /** A share may be used until the end of its term minus [LimitsSettings.maxClockSkew]. */
    public data object Held : LeaseState("held")
}

/** An event of the chart `lease`. */
public sealed class LeaseTrigger(override val chartName: String) : ChartName {
    /** A record that requests a share is about to be appended. */
    public data object Asked : LeaseTrigger("asked")

    /** The record that requested the share was read back. */
    public data object Granted : LeaseTrigger("granted")

    /** A smaller share was requested; the difference is no longer used from now on. */
    public data object Lowered : LeaseTrigger("lowered")

    /** The term ended by this instance's clock. */
    public data object Lapsed : LeaseTrigger("lapsed")
}

/** An effect that a transition of the chart `lease` lists. */
public sealed class LeaseAction(override val chartName: String) : ChartName {
    public data object ApplyShare : LeaseAction("apply_share")
    public data object LowerShare : LeaseAction("lower_share")
    public data object WithdrawShare : LeaseAction("withdraw_share")
}

internal val leaseChart: Chart<LeaseState, LeaseTrigger, LeaseAction> by lazy {
    loadChartResource(
        "lease",
        ChartVocabulary(
            states = persistentListOf(LeaseState.Idle, LeaseState.Requested, LeaseState.Held),
            events = persistentListOf(
                LeaseTrigger.Asked,
                LeaseTrigger.Granted,
                LeaseTrigger.Lowered,
                LeaseTrigger.Lapsed
            ),
            effects = persistentListOf(
                LeaseAction.ApplyShare,
                LeaseAction.LowerShare,
                LeaseAction.WithdrawShare
            )
        )
    )
}
