package org.wisteriahinge.adapters.caller

import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import org.junit.jupiter.api.Test
import org.wisteriahinge.adapters.CallerAuthentication
import org.wisteriahinge.adapters.WireDialect
import org.wisteriahinge.adapters.handover.HandoverHeaders
import org.wisteriahinge.adapters.handover.PresentedHandover
import org.wisteriahinge.adapters.handover.decodeHandover
import org.wisteriahinge.adapters.handover.encodeHandover
import org.wisteriahinge.core.handover.HandedOverCall
import org.wisteriahinge.core.model.Backend
import org.wisteriahinge.core.model.CallBounds
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.ForwardedIdentity
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.KeyHash
import org.wisteriahinge.core.model.KeyedCustomer
import org.wisteriahinge.core.model.KeyedCustomers
import org.wisteriahinge.core.model.OperationId
import org.wisteriahinge.core.model.Repeatability
import org.wisteriahinge.core.model.Route
import org.wisteriahinge.core.model.RouteTable
import org.wisteriahinge.core.model.ServiceId
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

private const val KEY = "key-1234"
private const val FORGED = "Authorization: Bearer $KEY\r\nX-CUSTOMER: other\r\n"
private val CUSTOMER = CustomerId("real")

/** Guards against targets that see a key, or a customer's name that the caller chose. */
class CallerIdentityTest {
    private val dialect = WireDialect.Default.copy(
        authentication = CallerAuthentication.ApiKey("X-Customer"),
        withheldHeaders = persistentSetOf()
    )
    private val service = ServiceId("lookup")

    private fun route(name: String, isPublic: Boolean) = Route(
        OperationId(name),
        "lb",
        "/$name/",
        persistentListOf(Backend(service, 1)),
        Repeatability.Repeatable,
        CallBounds.None,
        isPublic
    )

    private fun Configuration.withCustomer() = copy(
        entitlements = entitlements.copy(
            routes = RouteTable.of(listOf(route("results", false), route("open", true)))
        ),
        keyed = KeyedCustomers(
            persistentHashMapOf(
                CUSTOMER to KeyedCustomer(CUSTOMER, persistentSetOf(KeyHash.of(KEY)))
            )
        )
    )

    private fun received(
        request: String,
        source: CallSource = CallSource.Callers,
        configured: (Configuration) -> Configuration = { it.withCustomer() }
    ): List<String> {
        val target = RawTarget { answer("ok") }
        return CallerFixture(
            listOf(target),
            configured = configured,
            configure = { it.copy(dialect = dialect, source = source) }
        ).use { fixture ->
            expectThat(fixture.exchange(request)).isNotNull().get { text }.isEqualTo("ok")
            target.requests.single().headers
                .map { (name, value) -> name.lowercase() to value }
                .filter { (name, _) -> name == "authorization" || name == "x-customer" }
                .map { (name, value) -> "$name: $value" }
        }
    }

    @Test
    fun `a target gets the customer's name instead of the key and of a name from the caller`() {
        expectThat(received(get(headers = FORGED))).isEqualTo(listOf("x-customer: real"))
        expectThat(received(get("/open/1", FORGED))).isEqualTo(emptyList())
    }

    @Test
    fun `without customers the headers of callers are passed on`() {
        val headers = received(get(headers = FORGED)) { it.withCustomer().copy(keyed = null) }
        expectThat(headers).isEqualTo(listOf("authorization: Bearer $KEY", "x-customer: other"))
    }

    private fun handover(identity: ForwardedIdentity) = PresentedHandover(
        "token",
        HandedOverCall(
            InstanceId("front-2"),
            service,
            OperationId("results"),
            Repeatability.Repeatable,
            CallBounds.None,
            callerAddress = null,
            identity
        )
    )

    @Test
    fun `a call from another instance has the name that this one sent, whatever the headers say`() {
        val value = encodeHandover(handover(ForwardedIdentity.OfCustomer(CUSTOMER)))
        val request = get(headers = "$FORGED${HandoverHeaders.CALL}: $value\r\n")
        val headers = received(request, CallSource.Instances("token"))
        expectThat(headers).isEqualTo(listOf("x-customer: real"))
    }

    @Test
    fun `each identity is read as it was sent`() {
        listOf(
            ForwardedIdentity.AsSent,
            ForwardedIdentity.Anonymous,
            ForwardedIdentity.OfCustomer(CUSTOMER)
        ).forEach { identity ->
            expectThat(decodeHandover(encodeHandover(handover(identity))))
                .isEqualTo(handover(identity))
        }
    }

    @Test
    fun `an unknown key is refused without its value in the answer`() {
        val target = RawTarget { answer("ok") }
        CallerFixture(
            listOf(target),
            configured = { it.withCustomer() },
            configure = { it.copy(dialect = dialect) }
        ).use { fixture ->
            val answer = fixture.exchange(get(headers = "Authorization: Bearer x$KEY\r\n"))
            expectThat(answer).isNotNull().and {
                get { status }.isEqualTo(401)
                get { text }.contains("unknown_credential").not().contains(KEY)
            }
        }
    }
}
