package org.wisteriahinge.core.configuration

import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.charts.Chart
import org.wisteriahinge.charts.ChartName
import org.wisteriahinge.charts.ChartVocabulary
import org.wisteriahinge.charts.loadChartResource

/** The states of the chart `configuration-revision`. */
public sealed class ConfigurationPhase(override val chartName: String) : ChartName {
    /** Nothing is applied yet; the instance waits for the first answers of the log and of peers. */
    public data object Loading : ConfigurationPhase("loading")

    /** The instance follows the log and decides on each record in order. */
    public data object Current : ConfigurationPhase("current")

    /** Neither the log nor a peer confirmed the revision in force recently. */
    public data object Unconfirmed : ConfigurationPhase("unconfirmed")

    /** Records were lost before they were read; later ones are held until the position is known. */
    public data object Detached : ConfigurationPhase("detached")
}

/** The events of the chart `configuration-revision`. */
public sealed class ConfigurationTrigger(override val chartName: String) : ChartName {
    public data object PositionFound : ConfigurationTrigger("position_found")
    public data object PositionLost : ConfigurationTrigger("position_lost")
    public data object Settled : ConfigurationTrigger("settled")
    public data object Confirmed : ConfigurationTrigger("confirmed")
    public data object ConfirmationExpired : ConfigurationTrigger("confirmation_expired")
}

/** The effects of the chart `configuration-revision`. */
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
