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

    /** A share was asked for and not read back yet. */
    public data object Requested : LeaseState("requested")

    /** A share may be used until the end of its term less the skew bound. */
    public data object Held : LeaseState("held")
}

/** What can happen to a lease. */
public sealed class LeaseTrigger(override val chartName: String) : ChartName {
    public data object Asked : LeaseTrigger("asked")

    /** A record of this instance was read back. */
    public data object Granted : LeaseTrigger("granted")

    /** Less was asked for; the rest is given up before the record is appended. */
    public data object Lowered : LeaseTrigger("lowered")

    /** The term ended by this instance's clock. */
    public data object Lapsed : LeaseTrigger("lapsed")
}

/** What a transition of a lease asks for. */
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
