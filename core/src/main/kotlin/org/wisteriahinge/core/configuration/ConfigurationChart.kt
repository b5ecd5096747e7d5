package org.wisteriahinge.core.configuration

import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.charts.Chart
import org.wisteriahinge.charts.ChartName
import org.wisteriahinge.charts.ChartVocabulary
import org.wisteriahinge.charts.loadChartResource

/** How an instance holds its configuration, as in `charts/configuration-revision.yaml`. */
public sealed class ConfigurationPhase(override val chartName: String) : ChartName {
    /** Nothing is applied yet; the log's and the peers' first answers are awaited. */
    public data object Loading : ConfigurationPhase("loading")

    /** Every record of the log is decided on in order. */
    public data object Current : ConfigurationPhase("current")

    /** Neither the log nor a peer has confirmed the revision in force for some time. */
    public data object Unconfirmed : ConfigurationPhase("unconfirmed")

    /** Records were lost unread; later ones are held until the position is known again. */
    public data object Detached : ConfigurationPhase("detached")
}

/** What can happen to the configuration of an instance. */
public sealed class ConfigurationTrigger(override val chartName: String) : ChartName {
    public data object PositionFound : ConfigurationTrigger("position_found")
    public data object PositionLost : ConfigurationTrigger("position_lost")
    public data object Settled : ConfigurationTrigger("settled")
    public data object Confirmed : ConfigurationTrigger("confirmed")
    public data object ConfirmationExpired : ConfigurationTrigger("confirmation_expired")
}

/** What a transition of the chart asks for. */
public sealed class ConfigurationAction(override val chartName: String) : ChartName {
    public data object ApplyRevision : ConfigurationAction("apply_revision")
    public data object FoldHeldRecords : ConfigurationAction("fold_held_records")
    public data object AskPeers : ConfigurationAction("ask_peers")
    public data object TakePositionInLog : ConfigurationAction("take_position_in_log")
}

internal val configurationChart:
    Chart<ConfigurationPhase, ConfigurationTrigger, ConfigurationAction> by lazy {
        loadChartResource(
            "configuration-revision",
            ChartVocabulary(
                states = persistentListOf(
                    ConfigurationPhase.Loading,
                    ConfigurationPhase.Current,
                    ConfigurationPhase.Unconfirmed,
                    ConfigurationPhase.Detached
                ),
                events = persistentListOf(
                    ConfigurationTrigger.PositionFound,
                    ConfigurationTrigger.PositionLost,
                    ConfigurationTrigger.Settled,
                    ConfigurationTrigger.Confirmed,
                    ConfigurationTrigger.ConfirmationExpired
                ),
                effects = persistentListOf(
                    ConfigurationAction.ApplyRevision,
                    ConfigurationAction.FoldHeldRecords,
                    ConfigurationAction.AskPeers,
                    ConfigurationAction.TakePositionInLog
                )
            )
        )
    }
