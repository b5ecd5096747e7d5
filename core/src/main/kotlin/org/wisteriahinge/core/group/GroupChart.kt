package org.wisteriahinge.core.group

import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.charts.Chart
import org.wisteriahinge.charts.ChartName
import org.wisteriahinge.charts.ChartVocabulary
import org.wisteriahinge.charts.loadChartResource

/** The states of the chart `group-membership`: whether this instance is a member of a group. */
public sealed class GroupPhase(override val chartName: String) : ChartName {
    public data object Outside : GroupPhase("outside")
    public data object Joining : GroupPhase("joining")
    public data object Member : GroupPhase("member")
    public data object Stopped : GroupPhase("stopped")
}

/** The events of the chart `group-membership`. */
public sealed class GroupTrigger(override val chartName: String) : ChartName {
    public data object Needed : GroupTrigger("needed")
    public data object Unneeded : GroupTrigger("unneeded")
    public data object Joined : GroupTrigger("joined")
    public data object Failed : GroupTrigger("failed")
    public data object Expired : GroupTrigger("expired")
    public data object Stopping : GroupTrigger("stopping")
}

/** The effects of transitions in the chart `group-membership`. */
public sealed class GroupAction(override val chartName: String) : ChartName {
    public data object JoinSoon : GroupAction("join_soon")
    public data object UsePartitions : GroupAction("use_partitions")
    public data object BackOff : GroupAction("back_off")
    public data object LeaveGroup : GroupAction("leave_group")
    public data object AnnounceJoined : GroupAction("announce_joined")
    public data object AnnounceExpired : GroupAction("announce_expired")
}

internal val groupChart: Chart<GroupPhase, GroupTrigger, GroupAction> by lazy {
    loadChartResource(
        "group-membership",
        ChartVocabulary(
            states = persistentListOf(
                GroupPhase.Outside,
                GroupPhase.Joining,
                GroupPhase.Member,
                GroupPhase.Stopped
            ),
            events = persistentListOf(
                GroupTrigger.Needed,
                GroupTrigger.Unneeded,
                GroupTrigger.Joined,
                GroupTrigger.Failed,
                GroupTrigger.Expired,
                GroupTrigger.Stopping
            ),
            effects = persistentListOf(
                GroupAction.JoinSoon,
                GroupAction.UsePartitions,
                GroupAction.BackOff,
                GroupAction.LeaveGroup,
                GroupAction.AnnounceJoined,
                GroupAction.AnnounceExpired
            )
        )
    )
}
