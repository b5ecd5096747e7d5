package org.wisteriahinge.app

import java.io.Closeable
import java.time.Clock
import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.adapters.backend.BackendClient
import org.wisteriahinge.adapters.quota.QuotaEndpoint
import org.wisteriahinge.adapters.relay.RelayServer
import org.wisteriahinge.adapters.relay.RelayTopic
import org.wisteriahinge.adapters.relay.ServedTopic
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.watch.FreshnessBudget
import org.wisteriahinge.core.watch.RELAY_PERIOD
import org.wisteriahinge.core.watch.SourceChoice
import org.wisteriahinge.core.watch.WatchTiming
import org.wisteriahinge.platform.PlatformTopics
import org.wisteriahinge.platform.StoreTopic
import org.wisteriahinge.platform.decodeStableTarget
import org.wisteriahinge.runtime.FollowedTopic
import org.wisteriahinge.runtime.RecordFilter
import org.wisteriahinge.runtime.TopicMirror

/** Many instances write their records at the same time when the deployment starts. */
private val INSTANCES_PERIOD: Duration = Duration.ofMillis(500)

/** How the topic [storeName] of the store is followed; here it is called [name]. */
private class TopicPlan(
    val name: String,
    val storeName: String,
    val budget: FreshnessBudget,
    val timing: WatchTiming
)

private class TopicPlans(bounds: PropagationBounds) {
    val configuration = waiting("configuration", PlatformTopics.OPERATOR, bounds.configurationReads)
    val targets = polling("targets", PlatformTopics.TARGETS, bounds.targets)
    val crashes = waiting("crashes", PlatformTopics.CRASHES, bounds.crashes)
    val instances =
        waiting("instances", PlatformTopics.INSTANCES, bounds.instances, INSTANCES_PERIOD)

    private fun waiting(
        name: String,
        storeName: String,
        bound: Duration,
        minPeriod: Duration = RELAY_PERIOD
    ): TopicPlan {
        val budget = FreshnessBudget(bound)
        return TopicPlan(name, storeName, budget, WatchTiming.waiting(budget, minPeriod))
    }

    private fun polling(name: String, storeName: String, bound: Duration): TopicPlan {
        val budget = FreshnessBudget(bound)
        return TopicPlan(name, storeName, budget, WatchTiming.polling(budget))
    }
}

/** The platform's topics, read from the store or from relays. */
internal sealed interface PlatformSources : Closeable {
    val configuration: FollowedTopic
    val targets: FollowedTopic

    /** The counts of crashes that instances write. */
    val crashes: FollowedTopic

    /** Where instances take calls from others. */
    val instances: FollowedTopic

    /** Grants tokens of customers' quotas to other instances; null if this one is no relay. */
    val quotas: QuotaEndpoint?

    /**
     * Starts serving the topics to other instances if this one is a relay.
     *
     * @throws java.net.BindException if the address is in use.
     */
    fun start()

    /**
     * A relay, which serves the topics that it reads at [ownAddress].
     *
     * The relay whose address sorts first reads the store. The others read that relay, or the store
     * while the records of that relay are too old. No two relays thus read each other.
     */
    class Relaying(
        ownAddress: Address,
        settings: FrontSettings,
        client: BackendClient,
        pipeline: CallPipeline,
        clock: Clock
    ) : PlatformSources {
        private val plans = TopicPlans(settings.bounds)
        private val firstRelay = settings.platform.relays.minBy { it.toString() }
        private val reader = TopicReader(
            listOf(firstRelay).filter { it != ownAddress }.toPersistentList(),
            first = 0,
            settings.platform.store,
            client,
            clock
        )
        override val configuration = mirrored(plans.configuration)
        override val targets =
            mirrored(plans.targets, RecordFilter.ChangedRecords(::decodeStableTarget))
        override val crashes = mirrored(plans.crashes)
        override val instances = mirrored(plans.instances)
        override val quotas = QuotaEndpoint(settings.platform.relays.size, pipeline.loop, clock)
        private val server = RelayServer(
            ownAddress,
            persistentHashMapOf(
                served(plans.configuration, configuration),
                served(plans.targets, targets),
                served(plans.crashes, crashes),
                served(plans.instances, instances)
            ),
            pipeline.loop,
            clock,
            pipeline.clients,
            quotas
        )

        private fun mirrored(
            plan: TopicPlan,
            filter: RecordFilter = RecordFilter.EveryRecord
        ): FollowedTopic {
            val mirror = TopicMirror(filter) { server.onRead(plan.storeName) }
            return reader.topic(plan, plan.budget.relayTakeover, mirror)
        }

        private fun served(plan: TopicPlan, topic: FollowedTopic): Pair<String, ServedTopic> {
            val mirror = checkNotNull(topic.mirror) { "the topic ${plan.name} is not mirrored" }
            return plan.storeName to ServedTopic(plan.budget.latestTakeover) { mirror.records }
        }

        override fun start() {
            server.start()
        }

        override fun close() {
            server.close()
        }
    }

    /** Reads the topics from one of the relays, or from the store while their records are old. */
    class Following(private val settings: FrontSettings, client: BackendClient, clock: Clock) :
        PlatformSources {
        private val plans = TopicPlans(settings.bounds)
        private val reader = TopicReader(
            settings.platform.relays,
            first = Math.floorMod(
                settings.name.hashCode(),
                maxOf(1, settings.platform.relays.size)
            ),
            settings.platform.store,
            client,
            clock
        )
        override val configuration = followed(plans.configuration)
        override val targets = followed(plans.targets)
        override val crashes = followed(plans.crashes)
        override val instances = followed(plans.instances)
        override val quotas = null

        private fun followed(plan: TopicPlan) =
            reader.topic(plan, plan.budget.followerTakeover(settings.seed))

        override fun start() = Unit

        override fun close() = Unit
    }
}

/** Reads topics from [relays], beginning at index [first], or else from [store]. */
private class TopicReader(
    private val relays: PersistentList<Address>,
    private val first: Int,
    private val store: Address,
    private val client: BackendClient,
    private val clock: Clock
) {
    fun topic(plan: TopicPlan, takeover: Duration, mirror: TopicMirror? = null): FollowedTopic =
        FollowedTopic(
            plan.name,
            plan.timing,
            StoreTopic(plan.storeName, store, client, clock),
            relays.map { RelayTopic(plan.storeName, it, client, clock) }.toPersistentList(),
            SourceChoice(relays.size, takeover, first),
            mirror
        )
}
