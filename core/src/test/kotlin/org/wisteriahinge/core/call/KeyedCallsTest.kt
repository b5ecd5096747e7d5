package org.wisteriahinge.core.call

import java.time.Duration
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.call.OpenRoutesFixture.arriveOpen
import org.wisteriahinge.core.handover.AttemptPath
import org.wisteriahinge.core.handover.HandedOverCall
import org.wisteriahinge.core.handover.HandoverPolicy
import org.wisteriahinge.core.handover.HandoverState
import org.wisteriahinge.core.handover.PeerInstance
import org.wisteriahinge.core.keys.ClockReading
import org.wisteriahinge.core.keys.KeyTrust
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.CallBounds
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.ForwardedIdentity
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.KeyHash
import org.wisteriahinge.core.model.KeyedCustomer
import org.wisteriahinge.core.model.KeyedCustomers
import org.wisteriahinge.core.model.OperationId
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.Repeatability
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.core.model.RouteTable
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.core.ratelimit.RequestUrgency
import org.wisteriahinge.core.survey.SurveyPolicy
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

private const val READ = "/results/7"
private const val PUBLIC = "/results/new/7"
private val KEY = KeyHash.of("key-of-large")
private val LARGE = CustomerId("large")

/** Guards against requests that run without a key, and against keys that reach targets. */
class KeyedCallsTest {
    private fun customer(name: String, key: String, priority: Int? = null) = CustomerId(name) to
        KeyedCustomer(CustomerId(name), persistentSetOf(KeyHash.of(key)), priority)

    private val both = KeyedCustomers(
        persistentHashMapOf(customer("large", "key-of-large", 1), customer("small", "key-of-small"))
    )

    private fun configuration(revision: Long, keyed: KeyedCustomers?): Configuration {
        val plain = OpenRoutesFixture.configuration()
        val routes = OpenRoutesFixture.routes.routes.map { route ->
            route.copy(
                isPublic = route.id == OperationId("write"),
                bounds = route.bounds.copy(priority = 3)
            )
        }
        val entitlements = plain.entitlements.copy(routes = RouteTable.of(routes))
        return plain.copy(RevisionNumber(revision), entitlements = entitlements, keyed = keyed)
    }

    private fun harness(
        keyed: KeyedCustomers? = both,
        survey: SurveyPolicy = SurveyPolicy.Off
    ): CallsHarness = OpenRoutesFixture.harness(survey = survey)
        .handle(CallEvent.Configured(configuration(2, keyed)))

    private fun request(id: Long, path: String = READ, key: KeyHash? = KEY) =
        OpenRoutesFixture.request(id, path).copy(apiKey = key)

    private fun CallsHarness.send(request: CallRequest) = arriveOpen(request).forwarded.single()

    @Test
    fun `a request with a key runs for its customer with the customer's priority`() {
        val harness = harness()
        val attempt = harness.send(request(1))
        val call = harness.state.calls.values.single()
        expectThat(attempt.identity).isEqualTo(ForwardedIdentity.OfCustomer(LARGE))
        expectThat(call.caller.customer.id).isEqualTo(LARGE)
        expectThat(call.matched.operation.bounds.priority).isEqualTo(1)
    }

    @Test
    fun `a missing or unknown key is refused with 401 and nothing is sent`() {
        listOf(
            null to RefusalReason.MissingCredential,
            KeyHash.of("other") to RefusalReason.UnknownCredential
        ).forEach { (key, reason) ->
            val harness = harness().arriveOpen(request(1, key = key))
            expectThat(harness.refusals.single().reason).isEqualTo(reason)
            expectThat(reason.status).isEqualTo(401)
            expectThat(harness.forwarded).isEmpty()
        }
    }

    @Test
    fun `a public route needs no key and passes none on`() {
        val attempt = harness().send(request(1, PUBLIC, key = null))
        expectThat(attempt.identity).isEqualTo(ForwardedIdentity.Anonymous)
    }

    @Test
    fun `without a list of customers headers are passed on as they were`() {
        val attempt = harness(keyed = null).send(request(1, key = null))
        expectThat(attempt.identity).isEqualTo(ForwardedIdentity.AsSent)
    }

    @Test
    fun `retries and hedges name the customer as the first attempt did`() {
        val retried = harness()
        retried.fail(1, retried.send(request(1)), AttemptFailure.ConnectFailed)
        val hedged = harness()
        hedged.send(request(1))
        hedged.now += Duration.ofMillis(126)
        hedged.handle(CallEvent.Ticked)
        listOf(retried, hedged).forEach {
            expectThat(it.forwarded.single().identity)
                .isEqualTo(ForwardedIdentity.OfCustomer(LARGE))
        }
    }

    @Test
    fun `a key that is taken away while a call waits or is retried starts no attempt`() {
        val without = configuration(3, KeyedCustomers(both.byId.remove(LARGE)))
        val waiting = harness(survey = SurveyPolicy.BeforeEach()).arriveOpen(request(1))
        expectThat(waiting.forwarded).isEmpty()
        waiting.handle(CallEvent.Configured(without))
        waiting.now += Duration.ofSeconds(1)
        waiting.handle(CallEvent.Ticked)
        expectThat(waiting.refusals.single().reason).isEqualTo(RefusalReason.UnknownCredential)

        val retried = harness()
        val first = retried.send(request(1))
        retried.handle(CallEvent.Configured(without))
        retried.fail(1, first, AttemptFailure.ConnectFailed)
        expectThat(retried.forwarded).isEmpty()
        expectThat(retried.refusals.single().execution).isEqualTo(Execution.NotRun)
    }

    @Test
    fun `only the customers with the highest priority go first at targets with a rate limit`() {
        val harness = harness()
        harness.send(request(1))
        harness.send(request(2, key = KeyHash.of("key-of-small")))
        val urgencies = harness.state.calls.values.sortedBy { it.request.callId.value }
            .map { harness.state.urgencyOf(it) }
        expectThat(urgencies).isEqualTo(listOf(RequestUrgency.First, RequestUrgency.Later))
    }

    @Test
    fun `a call that is handed over carries the customer, and its receiver trusts the sender`() {
        val sender = harness()
        val policy = HandoverPolicy.ToInstances(InstanceId("front-1"))
        sender.state = sender.state.copy(handover = HandoverState(policy))
        val peer = PeerInstance(InstanceId("front-2"), Zone("a"), Address("10.1.0.1", 1), "token")
        sender.handle(CallEvent.PeersListed(persistentListOf(peer)))
        val last = (1..3).fold(sender.send(request(1))) { attempt, _ ->
            sender.fail(1, attempt, AttemptFailure.ConnectFailed).forwarded.single()
        }
        val way = last.path
        expectThat(way).isA<AttemptPath.ThroughInstance>()
            .get { call.identity }.isEqualTo(ForwardedIdentity.OfCustomer(LARGE))
        val handover = (way as AttemptPath.ThroughInstance).call
        val receiver = harness(KeyedCustomers(persistentHashMapOf()))
        val sent = receiver.send(request(2, key = null).copy(handover = handover))
        expectThat(sent.identity).isEqualTo(ForwardedIdentity.OfCustomer(LARGE))
    }

    @Test
    fun `the receiver checks the key if the sender's version knows no keys`() {
        val unchecked = HandedOverCall(
            InstanceId("front-1"),
            OpenRoutesFixture.service,
            OperationId("read"),
            Repeatability.Repeatable,
            CallBounds.None,
            callerAddress = null
        )
        val refused = harness().arriveOpen(request(1, key = null).copy(handover = unchecked))
        expectThat(refused.refusals.single().reason).isEqualTo(RefusalReason.MissingCredential)
        val sent = harness().send(request(1).copy(handover = unchecked))
        expectThat(sent.identity).isEqualTo(ForwardedIdentity.OfCustomer(LARGE))
    }

    private fun trusting(keyed: KeyedCustomers? = both): CallsHarness {
        val harness = harness(keyed)
        harness.state = harness.state.copy(keyTrust = KeyTrust(Duration.ofSeconds(5)))
        return harness.handle(CallEvent.ClocksCompared(Duration.ZERO)).confirm()
    }

    private fun CallsHarness.confirm() =
        handle(CallEvent.ConfigurationConfirmed(ClockReading(now, now)))

    private fun CallsHarness.fresh(id: Long, path: String = READ, key: KeyHash? = KEY) =
        request(id, path, key).copy(arrivedAt = now, deadline = now + Duration.ofSeconds(2))

    @Test
    fun `an instance that lost the store refuses keys at once and serves public routes`() {
        val harness = trusting()
        harness.now += Duration.ofMillis(4_400)
        harness.send(harness.fresh(1))
        harness.now += Duration.ofMillis(200)
        listOf(KEY, KeyHash.of("other")).forEachIndexed { index, key ->
            val refusal = harness.arriveOpen(harness.fresh(2L + index, key = key)).refusals.single()
            expectThat(refusal.reason).isEqualTo(RefusalReason.ConfigurationTooOld)
            expectThat(refusal.execution).isEqualTo(Execution.NotRun)
            expectThat(refusal.retryAfter).isNotNull()
        }
        harness.send(harness.fresh(4, PUBLIC, key = null))
        harness.confirm().send(harness.fresh(5))
    }

    @Test
    fun `no attempt starts with a key whose configuration became too old meanwhile`() {
        val retried = trusting()
        retried.now += Duration.ofSeconds(4)
        val first = retried.send(retried.fresh(1))
        retried.now += Duration.ofMillis(600)
        retried.fail(1, first, AttemptFailure.ConnectFailed)
        expectThat(retried.forwarded).isEmpty()
        expectThat(retried.refusals.single().execution).isEqualTo(Execution.NotRun)

        val hedged = trusting()
        hedged.now += Duration.ofMillis(4_450)
        hedged.send(hedged.fresh(1))
        hedged.now += Duration.ofMillis(200)
        hedged.handle(CallEvent.Ticked)
        expectThat(hedged.forwarded).isEmpty()
    }

    @Test
    fun `an attempt with a key must be sent within the bound`() {
        val harness = trusting()
        val confirmedAt = harness.now
        harness.now += Duration.ofSeconds(3)
        expectThat(harness.send(harness.fresh(1)).sendBy).isEqualTo(confirmedAt.plusSeconds(5))
        expectThat(harness.send(harness.fresh(2, PUBLIC, key = null)).sendBy).isNull()
    }
}
