package org.wisteriahinge.bench.demo

import org.wisteriahinge.adapters.caller.CredentialHasher
import org.wisteriahinge.bench.CREDENTIAL_KEY
import org.wisteriahinge.bench.SLOTS
import org.wisteriahinge.core.configuration.ListTexts

/** A stand-in target as the lists name it. */
internal data class ListedTarget(val name: String, val zone: String, val port: Int)

/** A customer of the demo with its plan and the secret of its one credential. */
internal data class DemoCustomer(
    val name: String,
    val plan: String,
    val secret: String,
    val standing: String = "active"
) {
    val authorization: String get() = "Bearer $name.$secret"
}

internal val UTILITY = DemoCustomer("delta-utility", "full", "utility-secret")
internal val ESTATE = DemoCustomer("rivers-estate", "lookups", "estate-secret")
internal val SMALL = DemoCustomer("corner-workshop", "small", "workshop-secret")
internal val FORMER = DemoCustomer("former-member", "full", "former-secret", "revoked")

/** Calls that the plan `small` allows at once before its rate applies. */
internal const val SMALL_BURST = 20

private val CUSTOMERS = listOf(UTILITY, ESTATE, SMALL, FORMER)

/** The two lists with these targets. */
internal fun demoLists(lookups: List<ListedTarget>, bookings: List<ListedTarget>): ListTexts =
    ListTexts(customersYaml(), entitlementsYaml(lookups, bookings))

private fun customersYaml(): String {
    val hasher = CredentialHasher(CREDENTIAL_KEY.encodeToByteArray())
    val entries = CUSTOMERS.joinToString("\n") {
        """
        |  - name: ${it.name}
        |    plan: ${it.plan}
        |    standing: ${it.standing}
        |    credentials:
        |      - { id: ${it.name}, keyed_hash: ${hasher.hash(it.secret)} }
        """.trimMargin()
    }
    return "format: 1\ncustomers:\n$entries\n"
}

private fun targetLines(targets: List<ListedTarget>): String = targets.joinToString("\n") {
    "      - { name: ${it.name}, zone: ${it.zone}, " +
        "address: '127.0.0.1:${it.port}', slots: $SLOTS }"
}

private fun entitlementsYaml(lookups: List<ListedTarget>, bookings: List<ListedTarget>): String =
    """
    |format: 1
    |services:
    |  - name: results-lookup
    |    targets:
    |${targetLines(lookups)}
    |    operations:
    |      - { name: get, method: GET, path: '/results/{id}', repeatable: true, duration: short }
    |  - name: booking
    |    targets:
    |${targetLines(bookings)}
    |    operations:
    |      - { name: book, method: POST, path: /bookings, repeatable: false, duration: short }
    |plans:
    |${planLines("full", 100_000, "results-lookup/get, booking/book")}
    |${planLines("lookups", 100_000, "results-lookup/get")}
    |${planLines("small", SMALL_BURST, "results-lookup/get")}
    |
    """.trimMargin()

private fun planLines(name: String, burst: Int, operations: String): String = """
    |  - name: $name
    |    calls_per_second: ${burst / SMALL_BURST}
    |    burst_calls: $burst
    |    concurrent_calls: 240
    |    bytes_per_second: 1000000000
    |    burst_bytes: 2000000000
    |    operations: [$operations]
""".trimMargin()
