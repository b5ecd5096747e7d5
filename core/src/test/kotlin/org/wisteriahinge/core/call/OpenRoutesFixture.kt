package org.wisteriahinge.core.call

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.Backend
import org.wisteriahinge.core.model.CallBounds
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.Customers
import org.wisteriahinge.core.model.Entitlements
import org.wisteriahinge.core.model.ListedTargets
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.OperationId
import org.wisteriahinge.core.model.Repeatability
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.core.model.Route
import org.wisteriahinge.core.model.RouteTable
import org.wisteriahinge.core.model.Service
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.Target
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.core.retry.HedgeLimit
import org.wisteriahinge.core.retry.Hedging
import org.wisteriahinge.core.retry.RetryLimit
import org.wisteriahinge.core.retry.RetrySettings
import org.wisteriahinge.core.retry.RetryState
import org.wisteriahinge.core.routing.RoutingPolicy
import org.wisteriahinge.core.routing.RoutingState
import org.wisteriahinge.core.survey.SurveyPolicy
import org.wisteriahinge.core.survey.SurveysState

/** Open routes to one service, and requests for them. */
internal object OpenRoutesFixture {
    val start = CallFixture.start
    val service = ServiceId("lookup")
    private val bounds = CallBounds(
        maxTargets = 2,
        timeout = Duration.ofMillis(1_000),
        objective = Duration.ofMillis(250)
    )

    private fun route(
        name: String,
        prefix: String,
        repeatability: Repeatability = Repeatability.Repeatable,
        backends: PersistentList<Backend> = persistentListOf(Backend(service, 1))
    ) = Route(OperationId(name), "lab.example", prefix, backends, repeatability, bounds)

    val routes = RouteTable.of(
        listOf(
            route("read", "/results/"),
            route("slow", "/results/slow/"),
            route("fast", "/results/fast/"),
            route("write", "/results/new/", Repeatability.OncePerRequest)
        )
    )

    private fun service(id: ServiceId) =
        Service(id, persistentListOf(), persistentListOf(), "/health")

    fun targets(count: Int) = (1..count).map {
        Target(TargetId("t$it"), Zone("a"), Address("10.0.0.$it", 80), slots = 3)
    }.toPersistentList()

    fun harness(
        targets: Int = 4,
        survey: SurveyPolicy = SurveyPolicy.Off,
        ratio: Double = 1.0
    ): CallsHarness {
        val limit = RetryLimit.Window(
            Duration.ofSeconds(10),
            ratio,
            baseAllowance = 0.0,
            HedgeLimit(ratio = 1.0, budgetShare = 1.0, seed = 1)
        )
        val state = CallsState(
            Configuration.Empty,
            RoutingState(RoutingPolicy.LeastExpectedTime(), Zone("a"), seed = 1),
            retries = RetryState(
                RetrySettings(hedging = Hedging.AfterQuantile(0.9), limit = limit)
            ),
            surveys = SurveysState(survey)
        )
        return CallsHarness(state)
            .handle(CallEvent.Configured(configuration(routes)))
            .handle(CallEvent.TargetsListed(listing(targets)))
    }

    fun configuration(routes: RouteTable = this.routes) = Configuration(
        RevisionNumber(1),
        Customers(persistentHashMapOf()),
        Entitlements(
            persistentHashMapOf(service to service(service)),
            persistentHashMapOf(),
            routes
        )
    )

    fun listing(count: Int) = ListedTargets(persistentHashMapOf(service to targets(count)))

    fun request(id: Long, path: String = "/results/7", host: String = "lab.example") =
        CallFixture.request(id, timeout = Duration.ofSeconds(2)).copy(
            credential = null,
            idempotencyKey = null,
            digest = null,
            path = path,
            host = host,
            arrivedAt = start
        )

    fun CallsHarness.arriveOpen(request: CallRequest) = handle(CallEvent.Arrived(request))

    fun report(at: Instant, inFlight: Int = 0, pace: Int = 100) =
        LoadReport(inFlight, 3, at, pacePercent = pace)
}
