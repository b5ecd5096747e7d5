package org.wisteriahinge.core.watch

import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.charts.Chart
import org.wisteriahinge.charts.ChartName
import org.wisteriahinge.charts.ChartVocabulary
import org.wisteriahinge.charts.loadChartResource

/** The states of the chart `topic-watch`: how far a topic was read. */
public sealed class WatchPhase(override val chartName: String) : ChartName {
    /** The newest record of each key is to be read next. */
    public data object Unread : WatchPhase("unread")

    /** All changes up to the next offset were read. */
    public data object Following : WatchPhase("following")

    /** The last read failed; reading continues at the next offset. */
    public data object Disconnected : WatchPhase("disconnected")
}

/** The events of the chart `topic-watch`. */
public sealed class WatchTrigger(override val chartName: String) : ChartName {
    public data object NewestRead : WatchTrigger("newest_read")
    public data object ChangesRead : WatchTrigger("changes_read")
    public data object Expired : WatchTrigger("expired")
    public data object Failed : WatchTrigger("failed")
    public data object RelayFailed : WatchTrigger("relay_failed")
}

/** The effects of transitions in the chart `topic-watch`. */
public sealed class WatchAction(override val chartName: String) : ChartName {
    public data object PublishNewest : WatchAction("publish_newest")
    public data object PublishChanges : WatchAction("publish_changes")
    public data object AnnounceLost : WatchAction("announce_lost")
    public data object AnnounceRegained : WatchAction("announce_regained")
    public data object BackOff : WatchAction("back_off")
}

internal val watchChart: Chart<WatchPhase, WatchTrigger, WatchAction> by lazy {
    loadChartResource(
        "topic-watch",
        ChartVocabulary(
            states = persistentListOf(
                WatchPhase.Unread,
                WatchPhase.Following,
                WatchPhase.Disconnected
            ),
            events = persistentListOf(
                WatchTrigger.NewestRead,
                WatchTrigger.ChangesRead,
                WatchTrigger.Expired,
                WatchTrigger.Failed,
                WatchTrigger.RelayFailed
            ),
            effects = persistentListOf(
                WatchAction.PublishNewest,
                WatchAction.PublishChanges,
                WatchAction.AnnounceLost,
                WatchAction.AnnounceRegained,
                WatchAction.BackOff
            )
        )
    )
}
