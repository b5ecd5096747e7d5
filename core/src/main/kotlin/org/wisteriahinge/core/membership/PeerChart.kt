package org.wisteriahinge.core.membership

import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.charts.Chart
import org.wisteriahinge.charts.ChartName
import org.wisteriahinge.charts.ChartVocabulary
import org.wisteriahinge.charts.loadChartResource

/** The states of the chart `peer`: how this instance sees a peer. */
public sealed class PeerState(override val chartName: String) : ChartName {
    /** Listed by the platform; no heartbeat arrived yet. */
    public data object Expected : PeerState("expected")
    public data object Live : PeerState("live")

    /** Missed one heartbeat. */
    public data object Slow : PeerState("slow")

    /** Draining, according to its heartbeat or to the platform. */
    public data object Leaving : PeerState("leaving")

    /** Missed three heartbeats. */
    public data object Gone : PeerState("gone")

    /** No longer listed, and not live: its state is dropped. */
    public data object Forgotten : PeerState("forgotten")
}

/** The events of the chart `peer`. */
public sealed class PeerTrigger(override val chartName: String) : ChartName {
    public data object HeardServing : PeerTrigger("heard_serving")
    public data object HeardDraining : PeerTrigger("heard_draining")
    public data object ListedLeaving : PeerTrigger("listed_leaving")
    public data object MissedOne : PeerTrigger("missed_one")
    public data object MissedThree : PeerTrigger("missed_three")
    public data object Delisted : PeerTrigger("delisted")
}

/** The effects of transitions in the chart `peer`. */
public sealed class PeerAction(override val chartName: String) : ChartName {
    /** Notify other duties that the members changed. */
    public data object AnnounceMembers : PeerAction("announce_members")
    public data object CountGone : PeerAction("count_gone")
}

internal val peerChart: Chart<PeerState, PeerTrigger, PeerAction> by lazy {
    loadChartResource(
        "peer",
        ChartVocabulary(
            states = persistentListOf(
                PeerState.Expected,
                PeerState.Live,
                PeerState.Slow,
                PeerState.Leaving,
                PeerState.Gone,
                PeerState.Forgotten
            ),
            events = persistentListOf(
                PeerTrigger.HeardServing,
                PeerTrigger.HeardDraining,
                PeerTrigger.ListedLeaving,
                PeerTrigger.MissedOne,
                PeerTrigger.MissedThree,
                PeerTrigger.Delisted
            ),
            effects = persistentListOf(PeerAction.AnnounceMembers, PeerAction.CountGone)
        )
    )
}
