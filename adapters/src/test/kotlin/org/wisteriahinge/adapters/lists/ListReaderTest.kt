package org.wisteriahinge.adapters.lists

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import java.nio.file.Path
import kotlin.io.path.readText
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.configuration.ListTexts
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.core.model.Service
import org.wisteriahinge.core.model.ServiceId
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

/** Guards against faulty lists that are accepted, and against faults without file and line. */
class ListReaderTest {
    private val hash = "0123456789abcdef".repeat(4)

    private val customers = """
        format: 1
        customers:
          - name: north
            plan: basic
            credentials:
              - { id: north-1, keyed_hash: $hash }
          - name: south
            plan: basic
            standing: revoked
            credentials: []
    """.trimIndent()

    private val entitlements = """
        format: 1
        services:
          - name: lookup
            targets:
              - { name: t1, zone: z1, address: '10.0.0.1:80', slots: 3 }
            operations:
              - { name: get, method: GET, path: '/r/{id}', repeatable: true, duration: short }
              - { name: put, method: PUT, path: '/r/{id}', repeatable: false, duration: long }
        plans:
          - name: basic
            calls_per_second: 10
            burst_calls: 20
            concurrent_calls: 5
            bytes_per_second: 1000
            burst_bytes: 2000
            operations: [lookup/get]
    """.trimIndent()

    private fun read(customers: String = this.customers, entitlements: String = this.entitlements) =
        readLists(ListTexts(customers, entitlements), RevisionNumber(1))

    private fun faults(
        customers: String = this.customers,
        entitlements: String = this.entitlements
    ) = read(customers, entitlements).getError().orEmpty().map { it.toString() }

    private val routes = """
        |routes:
        |  - name: open
        |    host: lab.example
        |    path_prefix: /r/
        |    repeatable: false
        |    backends: [{ service: lookup, weight: 3 }]
        |    max_targets: 2
        |    timeout_ms: 1200
    """.trimMargin()

    @Test
    fun `routes are decoded with their bounds`() {
        val route = read(entitlements = "$entitlements\n$routes").get()
            ?.entitlements?.routes?.match("lab.example", "/r/1")
        expectThat(route?.id?.value).isEqualTo("open")
        expectThat(route?.bounds?.maxTargets).isEqualTo(2)
        expectThat(route?.bounds?.timeout?.toMillis()).isEqualTo(1_200)
    }

    @Test
    fun `faults in routes name the field and the remedy`() {
        val faulty = routes.replace("/r/", "/r").replace("service: lookup", "service: lookp")
            .replace("1200", "0")
        val found = faults(entitlements = "$entitlements\n$faulty")
        expectThat(found).hasSize(3)
        expectThat(found[0]).contains("begin and end it with a slash")
        expectThat(found[1]).contains("timeout_ms 0; expected a number above 0")
        expectThat(found[2]).contains("unknown service 'lookp'; list it under services")
    }

    @Test
    fun `valid lists are decoded in order and matched to requests`() {
        val configuration = read().get()
        expectThat(configuration?.customers?.byId?.keys?.map { it.value })
            .isEqualTo(listOf("north", "south"))
        expectThat(configuration?.entitlements?.match("PUT", "/r/7?x=1")?.operation?.id?.value)
            .isEqualTo("put")
        expectThat(configuration?.entitlements?.match("GET", "/r")).isNull()
    }

    @Test
    fun `semantic faults in both lists are reported together with their lines`() {
        val found = faults(
            customers.replace("plan: basic\n    standing", "plan: gold\n    standing")
                .replace(hash, "abc").replace("name: south", "name: north"),
            entitlements.replace("10.0.0.1:80", "10.0.0.1").replace("slots: 3", "slots: 0")
                .replace("burst_calls: 20", "burst_calls: 0")
                .replace("[lookup/get]", "[lookup/gett]")
                .replace("/r/{id}', repeatable: false", "r/{id', repeatable: false")
        )
        listOf(
            "customers.yaml:6: credential 'north-1' has a keyed_hash that is not 64",
            "customers.yaml:7: customer 'north' is listed twice",
            "customers.yaml:8: customer 'north' has unknown plan 'gold'; use one of basic",
            "entitlements.yaml:5: target 't1' has address '10.0.0.1'; expected host:port",
            "entitlements.yaml:5: target 't1' has 0 slots",
            "entitlements.yaml:8: operation 'put' has path 'r/{id'",
            "entitlements.yaml:12: plan 'basic' has burst_calls 0; expected a number above 0",
            "entitlements.yaml:16: plan 'basic' has unknown operation 'lookup/gett'"
        ).forEach { expected ->
            expectThat(found.filter { it.startsWith(expected) }).describedAs(expected).hasSize(1)
        }
        expectThat(found).hasSize(8)
    }

    @Test
    fun `overlapping paths of two operations are refused`() {
        val found = faults(
            entitlements = entitlements.replace("name: put, method: PUT", "name: put, method: GET")
                .replace("'/r/{id}', repeatable: false", "'/r/latest', repeatable: false")
        )
        expectThat(found).hasSize(1)
        expectThat(found.first()).contains(
            "entitlements.yaml:8: operation 'lookup/put' matches the same requests as 'lookup/get'"
        )
    }

    @Test
    fun `another format is refused before its fields are decoded`() {
        val found = faults(entitlements = "format: 2\nregions: []\n")
        expectThat(found).isEqualTo(
            listOf(
                "entitlements.yaml:1: format '2' is not read by this version; use 1 or a newer " +
                    "version of wisteriahinge"
            )
        )
    }

    @Test
    fun `faults about unknown and missing fields name the line`() {
        val unknown = faults(customers.replace("    standing", "    standig"))
        expectThat(unknown).hasSize(1)
        expectThat(unknown.first()).contains("customers.yaml:9").contains("standig")
        val missing = faults(entitlements = entitlements.replace("    burst_calls: 20\n", ""))
        expectThat(missing.first()).contains("entitlements.yaml:10").contains("burst_calls")
    }

    @Test
    fun `text that is not a list gives one fault`() {
        listOf("", "just text", "[1, 2]", "format: 1\ncustomers: 7\n", "a: b: c").forEach {
            expectThat(faults(customers = it)).hasSize(1)
        }
    }

    private fun example(deployment: String): Configuration {
        val directory = Path.of("../examples", deployment)
        val texts = ListTexts(
            directory.resolve(CUSTOMERS_FILE).readText(),
            directory.resolve(ENTITLEMENTS_FILE).readText()
        )
        val result = readLists(texts, RevisionNumber(1))
        expectThat(result.getError()).isNull()
        return checkNotNull(result.get())
    }

    private fun Configuration.targets(service: String): Int =
        entitlements.services[ServiceId(service)]?.targets?.size ?: 0

    private val Configuration.zones: Set<String>
        get() = entitlements.services.values.flatMap(Service::targets).map { it.zone.value }.toSet()

    @Test
    fun `the example lists of the co-operative are valid and have the documented sizes`() {
        val lists = example("cooperative")
        expectThat(lists.targets("results-lookup")).isEqualTo(20)
        expectThat(lists.targets("booking-and-certificates")).isEqualTo(10)
        expectThat(lists.targets("file-intake")).isEqualTo(8)
        expectThat(lists.zones).hasSize(4)
        expectThat(lists.entitlements.match("GET", "/results/T-17")).isNotNull()
    }

    @Test
    fun `the example lists of the franchise office are valid and have the documented sizes`() {
        val lists = example("weirwatch")
        expectThat(lists.targets("tally-lookup")).isEqualTo(17)
        expectThat(lists.targets("count-ledger")).isEqualTo(13)
        expectThat(lists.targets("footage-intake")).isEqualTo(6)
        expectThat(lists.zones).hasSize(3)
        expectThat(lists.entitlements.match("POST", "/counts")).isNotNull()
    }
}
