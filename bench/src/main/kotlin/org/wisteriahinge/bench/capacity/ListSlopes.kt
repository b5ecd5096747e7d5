package org.wisteriahinge.bench.capacity

import com.github.michaelbull.result.getOrThrow
import java.time.Instant
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentSet
import org.wisteriahinge.adapters.lists.readLists
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallRequest
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.call.PresentedCredential
import org.wisteriahinge.core.call.decide
import org.wisteriahinge.core.configuration.ListTexts
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.CredentialId
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.core.routing.RoutingPolicy
import org.wisteriahinge.core.routing.RoutingState

private const val TARGETS_PER_SERVICE = 19
private const val CUSTOMERS = 100

/** Instances that carry 720,000 calls a second at 1,800 each. */
private const val FLEET = 400
private const val CALLS = 20_000
private const val PACE_NANOS = 500_000L
private const val SERVICE_MILLIS = 5L
private const val LIST_READS = 5
private val HASH = "0".repeat(64)
private val START = Instant.parse("2026-01-01T00:00:00Z")

/** Numbers of targets up to the design scale of 4,900. */
private val TARGET_COUNTS = persistentListOf(38, 380, 1_900, 4_900)
private val CUSTOMER_COUNTS = persistentListOf(100, 1_000, 10_000)

internal fun listSlopes(): List<Slope> = listOf(
    measureSlope("call decided from arrival to end", "targets", TARGET_COUNTS) { targets ->
        val state = callsState(targets, CUSTOMERS)
        Measured(state, CALLS) { runCalls(state, targets) }
    },
    measureSlope("call decided from arrival to end", "customers", CUSTOMER_COUNTS) { customers ->
        val state = callsState(TARGET_COUNTS.first(), customers)
        Measured(state, CALLS) { runCalls(state, TARGET_COUNTS.first()) }
    },
    measureSlope("both lists read and validated", "targets", TARGET_COUNTS) { targets ->
        val texts = texts(targets, CUSTOMERS)
        Measured(texts, LIST_READS) { repeat(LIST_READS) { read(texts) } }
    },
    measureSlope("both lists read and validated", "customers", CUSTOMER_COUNTS) { customers ->
        val texts = texts(TARGET_COUNTS.first(), customers)
        Measured(texts, LIST_READS) { repeat(LIST_READS) { read(texts) } }
    },
    measureSlope("tick of one of $FLEET instances", "targets", TARGET_COUNTS) { targets ->
        val state = callsState(targets, CUSTOMERS, FLEET)
        Measured(state, CALLS) { runTicks(state) }
    },
    measureSlope("tick of a lone instance", "targets", TARGET_COUNTS) { targets ->
        val state = callsState(targets, CUSTOMERS)
        Measured(state, CALLS) { runTicks(state) }
    }
)

private fun callsState(targets: Int, customers: Int, instances: Int = 1): CallsState {
    val self = InstanceId("instance-1")
    val live = (1..instances).map { InstanceId("instance-$it") }.toPersistentSet()
    val routing = RoutingState(RoutingPolicy.LeastExpectedTime(), Zone("zone-0"), seed = 1)
    return CallsState(Configuration.Empty, routing)
        .decide(CallEvent.Configured(read(texts(targets, customers))), START).state
        .decide(CallEvent.MembersChanged(self, live), START).state
}

private fun read(texts: ListTexts): Configuration = readLists(texts, RevisionNumber(1))
    .getOrThrow { faults -> IllegalStateException(faults.joinToString()) }

/** Calls of 5 ms arrive every 0.5 ms; each event is decided as in a running instance. */
private fun runCalls(start: CallsState, targets: Int) {
    val services = (targets / TARGETS_PER_SERVICE).coerceAtLeast(1)
    var state = start
    var open = persistentListOf<CallEffect.Forward>()
    for (index in 1..CALLS) {
        val now = START.plusNanos(index * PACE_NANOS)
        val arrived = state.decide(CallEvent.Arrived(request(index, services, now)), now)
        state = arrived.state
        open = open.addAll(arrived.effects.filterIsInstance<CallEffect.Forward>())
        if (open.size > SERVICE_MILLIS * 2) {
            state = finish(state, open.first(), now)
            open = open.removeAt(0)
        }
    }
}

private fun finish(state: CallsState, sent: CallEffect.Forward, now: Instant): CallsState {
    val load = LoadReport(1, sent.attempt.target.slots, now)
    return state.decide(CallEvent.Answered(sent.callId, sent.attempt.id, 200, load), now).state
        .decide(CallEvent.Completed(sent.callId, sent.attempt.id), now).state
}

private fun runTicks(start: CallsState) {
    var state = start
    for (index in 1..CALLS) {
        state = state.decide(CallEvent.Ticked, START.plusMillis(index * SERVICE_MILLIS)).state
    }
}

private fun request(index: Int, services: Int, now: Instant) = CallRequest(
    callId = CallId(index.toLong()),
    credential = PresentedCredential(CredentialId("credential-${index % CUSTOMERS}"), HASH),
    method = "GET",
    path = "/service-${index % services}/items/$index",
    idempotencyKey = null,
    digest = null,
    deadline = now.plusSeconds(10),
    depth = 0,
    retriesAllowed = true,
    bodyBytes = 0,
    replayable = true
)

private fun texts(targets: Int, customers: Int): ListTexts {
    val services = (targets / TARGETS_PER_SERVICE).coerceAtLeast(1)
    return ListTexts(customersYaml(customers), entitlementsYaml(targets, services))
}

private fun customersYaml(count: Int): String = buildString {
    appendLine("format: 1\ncustomers:")
    repeat(count) { index ->
        appendLine("  - name: customer-$index")
        appendLine("    plan: standard")
        appendLine("    credentials:")
        appendLine("      - { id: credential-$index, keyed_hash: '$HASH' }")
    }
}

private fun entitlementsYaml(targets: Int, services: Int): String = buildString {
    appendLine("format: 1\nservices:")
    repeat(services) { service -> appendService(service, services, targets) }
    appendLine("plans:")
    appendLine("  - name: standard")
    appendLine("    calls_per_second: 1000000")
    appendLine("    burst_calls: 1000000")
    appendLine("    concurrent_calls: 100000")
    appendLine("    bytes_per_second: 1000000000")
    appendLine("    burst_bytes: 1000000000")
    appendLine("    operations:")
    repeat(services) { appendLine("      - service-$it/get-item") }
}

private fun StringBuilder.appendService(service: Int, services: Int, targets: Int) {
    appendLine("  - name: service-$service")
    appendLine("    targets:")
    for (target in service until targets step services) {
        val address = "10.${target / 65_536}.${target / 256 % 256}.${target % 256}:8080"
        appendLine(
            "      - { name: target-$target, zone: zone-${target % 8}, " +
                "address: '$address', slots: 3 }"
        )
    }
    appendLine("    operations:")
    appendLine("      - name: get-item")
    appendLine("        method: GET")
    appendLine("        path: /service-$service/items/{id}")
    appendLine("        repeatable: true")
    appendLine("        duration: short")
}
