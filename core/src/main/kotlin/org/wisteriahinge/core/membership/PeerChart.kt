package org.wisteriahinge.core.membership

import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.charts.Chart
import org.wisteriahinge.charts.ChartName
import org.wisteriahinge.charts.ChartVocabulary
import org.wisteriahinge.charts.loadChartResource

/** What this instance believes of a peer, as in `charts/peer.yaml`. */
public sealed class PeerState(override val chartName: String) : ChartName {
    /** Listed by the platform and not heard yet. */
    public data object Expected : PeerState("expected")
    public data object Live : PeerState("live")

    /** Missed one heartbeat. */
    public data object Slow : PeerState("slow")

    /** Draining, by its own word or the platform's. */
    public data object Leaving : PeerState("leaving")

    /** Missed three heartbeats. */
    public data object Gone : PeerState("gone")

    /** No longer known to anyone; its record is dropped. */
    public data object Forgotten : PeerState("forgotten")
}

/** What can happen to a peer. */
public sealed class PeerTrigger(override val chartName: String) : ChartName {
    public data object HeardServing : PeerTrigger("heard_serving")
    public data object HeardDraining : PeerTrigger("heard_draining")
    public data object ListedLeaving : PeerTrigger("listed_leaving")
    public data object MissedOne : PeerTrigger("missed_one")
    public data object MissedThree : PeerTrigger("missed_three")
    public data object Delisted : PeerTrigger("delisted")
}

/** What a transition of a peer asks for. */
public sealed class PeerAction(override val chartName: String) : ChartName {
    /** The set of members that others may rely on changed. */
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
