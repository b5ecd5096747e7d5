package org.wisteriahinge.core.quota

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.RequestQuota

/** Time after its grant for which a token that no call used may be used by another one. */
private val UNUSED_TOKEN_LIFETIME: Duration = Duration.ofMillis(300)

/**
 * Shortest time for which a relay without tokens is not asked again for the same customer. It
 * bounds the questions about a customer that sends many times its quota.
 */
private val MIN_PAUSE: Duration = Duration.ofMillis(300)
private val MAX_PAUSE: Duration = Duration.ofSeconds(2)

/** Most customers in one question, so that it fits into what a relay reads. */
private const val MAX_WANTS = 40

/** Whether the quotas of customers are enforced, and how. */
public sealed interface QuotaPolicy {
    /** They are not. */
    public data object Off : QuotaPolicy

    /**
     * Each request needs a token from one of the [relays]. Without relays, this instance uses an
     * equal part of each quota. [own] is this instance's relay, if it is one; [seed] differs from
     * that of other instances.
     */
    public data class ThroughRelays(
        val relays: PersistentList<Address>,
        val own: Address? = null,
        val seed: Long = 0
    ) : QuotaPolicy
}

/** A question for [wants] that is to be sent to [relay]; [askedAt] identifies it. */
public data class QuotaQuestion(
    val relay: Address,
    val askedAt: Instant,
    val wants: PersistentList<QuotaWant>
)

/**
 * What this instance holds of one customer's quota: when [unused] tokens expire, until when each
 * relay has none, and the tokens that stand in for those of relays that grant none.
 */
public data class CustomerTokens(
    val unused: PersistentList<Instant> = persistentListOf(),
    val pausedUntil: PersistentMap<Address, Instant> = persistentHashMapOf(),
    val standIn: StandInTokens? = null
)

/** A call that waits [until] for a token of [customer]; the relays in [denied] had none for it. */
public data class WaitingCall(
    val customer: CustomerId,
    val quota: RequestQuota,
    val until: Instant,
    val denied: PersistentSet<Address> = persistentSetOf()
)

/** Where a call gets its token from. */
internal sealed interface TokenSource {
    /** It has one; it was granted until [unusedUntil] if it came from a relay. */
    data class Here(val client: QuotaClient, val unusedUntil: Instant?) : TokenSource

    /** A relay is to be asked. */
    data object Relay : TokenSource

    /** No relay has one before [retryAfter]. */
    data class Exhausted(val retryAfter: Duration) : TokenSource

    /** No relay can be asked before [retryAfter]. */
    data class Unreachable(val retryAfter: Duration) : TokenSource
}

/**
 * The tokens of customers' quotas at this instance, and the calls that wait for some.
 *
 * The relays are asked in the [order] given, at most one question to each at a time. [instances] is
 * the number of all instances; null while unknown.
 */
public data class QuotaClient(
    val policy: QuotaPolicy = QuotaPolicy.Off,
    val order: PersistentList<Address> = relaysOf(policy),
    val instances: Int? = null,
    val contacts: PersistentMap<Address, RelayContact> = persistentHashMapOf(),
    val customers: PersistentMap<CustomerId, CustomerTokens> = persistentHashMapOf(),
    val waiting: PersistentMap<CallId, WaitingCall> = persistentMapOf()
) {
    /** When the first waiting call is refused; null if none waits. */
    internal val earliestExpiry: Instant? get() = waiting.values.minOfOrNull { it.until }

    internal fun tokensOf(customer: CustomerId): CustomerTokens =
        customers[customer] ?: CustomerTokens()

    internal fun with(customer: CustomerId, tokens: CustomerTokens): QuotaClient =
        copy(customers = customers.put(customer, tokens))

    internal fun contactOf(relay: Address): RelayContact = contacts[relay] ?: RelayContact()

    internal fun with(relay: Address, contact: RelayContact): QuotaClient =
        copy(contacts = contacts.put(relay, contact))

    /** The relay that is asked next for [call]; null if none is left. */
    internal fun nextRelay(call: WaitingCall, now: Instant): Address? {
        val paused = tokensOf(call.customer).pausedUntil
        return order.firstOrNull { relay ->
            relay !in call.denied &&
                contactOf(relay).isUsable(now) &&
                paused[relay]?.let { it > now } != true
        }
    }

    /** Where [call] gets its token from. */
    internal fun sourceFor(call: WaitingCall, now: Instant): TokenSource =
        unusedToken(call.customer, now)
            ?: TokenSource.Relay.takeIf { nextRelay(call, now) != null }
            ?: standInToken(call, now)
            ?: shortage(call, now)

    private fun unusedToken(customer: CustomerId, now: Instant): TokenSource? {
        val tokens = customers[customer] ?: return null
        val until = tokens.unused.firstOrNull { it > now } ?: return null
        val left = tokens.copy(unused = tokens.unused.remove(until))
        return TokenSource.Here(with(customer, left), until)
    }

    private fun standInToken(call: WaitingCall, now: Instant): TokenSource? {
        val tokens = tokensOf(call.customer)
        val standIn = standIn(call, tokens, now) ?: return null
        val used = standIn.used(now) ?: return null
        return TokenSource.Here(with(call.customer, tokens.copy(standIn = used)), null)
    }

    /** Remembers since when tokens stand in for those of relays, even if none is there yet. */
    internal fun withStandIn(call: WaitingCall, now: Instant): QuotaClient {
        val tokens = tokensOf(call.customer)
        val standIn = standIn(call, tokens, now)
        return if (standIn == tokens.standIn) {
            this
        } else {
            with(call.customer, tokens.copy(standIn = standIn))
        }
    }

    private fun standIn(call: WaitingCall, tokens: CustomerTokens, now: Instant): StandInTokens? {
        val perSecond = standInRate(call.quota, now)
        val known = tokens.standIn
        return when {
            perSecond <= 0 -> null
            known == null -> StandInTokens.begun(perSecond, firstPart(call.customer), now)
            known.perSecond == perSecond -> known
            else -> known.at(perSecond, now)
        }
    }

    private fun standInRate(quota: RequestQuota, now: Instant): Double {
        val all = instances ?: return 0.0
        val share = if (order.isEmpty()) {
            1.0
        } else {
            order.sumOf { contactOf(it).standInShare(now) } / order.size
        }
        return quota.requestsPerSecond * share / all
    }

    /** Another one at each instance, so that their first tokens do not come at the same moment. */
    private fun firstPart(customer: CustomerId): Double =
        partOf(seedOf(policy) xor customer.value.hashCode().toLong())

    private fun shortage(call: WaitingCall, now: Instant): TokenSource {
        val paused = tokensOf(call.customer).pausedUntil
        val pauses = order.mapNotNull { paused[it] }.filter { it > now }
        return if (pauses.isEmpty()) {
            TokenSource.Unreachable(MIN_PAUSE)
        } else {
            TokenSource.Exhausted(Duration.between(now, pauses.min()))
        }
    }

    /** Asks relays for the tokens of waiting calls, and whether those that failed are back. */
    internal fun ask(now: Instant): Pair<QuotaClient, PersistentList<QuotaQuestion>> {
        val byRelay = waiting.entries.groupBy { (_, call) -> nextRelay(call, now) }
        return order.fold(this to persistentListOf()) { (client, questions), relay ->
            val contact = client.contactOf(relay)
            val calls = byRelay[relay].orEmpty().map { it.key }
            val isDue = calls.isNotEmpty() && contact.isFree(now) || contact.isCheckDue(now)
            if (!isDue) return@fold client to questions
            val (next, question) = client.asking(relay, calls, now)
            next to questions.add(question)
        }
    }

    /** Asks every relay for nothing. */
    internal fun askAll(now: Instant): Pair<QuotaClient, PersistentList<QuotaQuestion>> =
        order.fold(this to persistentListOf()) { (client, questions), relay ->
            val (next, question) = client.asking(relay, emptyList(), now)
            next to questions.add(question)
        }

    private fun asking(
        relay: Address,
        calls: List<CallId>,
        now: Instant
    ): Pair<QuotaClient, QuotaQuestion> {
        val wants = wantsOf(calls)
        val asked = calls.filter { id -> wants.any { it.customer == waiting[id]?.customer } }
        val pending = PendingQuestion(now, asked.toPersistentList())
        return with(relay, contactOf(relay).copy(question = pending)) to
            QuotaQuestion(relay, now, wants)
    }

    private fun wantsOf(calls: List<CallId>): PersistentList<QuotaWant> =
        calls.mapNotNull { waiting[it] }
            .groupingBy { it.customer }
            .eachCount()
            .entries
            .take(MAX_WANTS)
            .map { (customer, count) -> QuotaWant(customer, count) }
            .toPersistentList()

    /** Ends the question to [relay] at [askedAt]; null if its answer is not waited for any more. */
    internal fun answered(
        relay: Address,
        askedAt: Instant,
        failure: RelayFailure?,
        now: Instant
    ): Pair<QuotaClient, PendingQuestion>? {
        val question = contactOf(relay).question?.takeIf { it.askedAt == askedAt } ?: return null
        val contact = if (failure == null) RelayContact() else RelayContact(null, failure, now)
        return with(relay, contact) to question
    }

    /** [relay] had no token for [customer]. */
    internal fun paused(
        relay: Address,
        customer: CustomerId,
        nextTokenIn: Duration?,
        now: Instant
    ): QuotaClient {
        val pause = (nextTokenIn ?: MIN_PAUSE).coerceIn(MIN_PAUSE, MAX_PAUSE)
        val tokens = tokensOf(customer)
        val until = tokens.pausedUntil.put(relay, now + pause)
        return with(customer, tokens.copy(pausedUntil = until))
    }

    /** Keeps [count] tokens that no call used and that were granted after [grantedAt]. */
    internal fun unused(
        customer: CustomerId,
        count: Int,
        grantedAt: Instant,
        now: Instant
    ): QuotaClient = unusedUntil(customer, count, grantedAt + UNUSED_TOKEN_LIFETIME, now)

    /** Keeps [count] tokens that may be used before [until]. */
    internal fun unusedUntil(
        customer: CustomerId,
        count: Int,
        until: Instant,
        now: Instant
    ): QuotaClient {
        if (count <= 0 || until <= now) return this
        val tokens = tokensOf(customer)
        val live = tokens.unused.filter { it > now } + List(count) { until }
        return with(customer, tokens.copy(unused = live.toPersistentList()))
    }

    /** Until when a token that was granted after [grantedAt] may be used by another call. */
    internal fun unusedUntil(grantedAt: Instant): Instant = grantedAt + UNUSED_TOKEN_LIFETIME

    internal fun without(callId: CallId): QuotaClient = copy(waiting = waiting.remove(callId))

    internal fun denied(callId: CallId, relay: Address): QuotaClient {
        val call = waiting[callId] ?: return this
        return copy(waiting = waiting.put(callId, call.copy(denied = call.denied.add(relay))))
    }

    /** Forgets the customers that are not in [listed]. */
    internal fun retaining(listed: Set<CustomerId>): QuotaClient {
        val gone = customers.keys - listed
        return if (gone.isEmpty()) {
            this
        } else {
            copy(customers = gone.fold(customers) { all, customer -> all.remove(customer) })
        }
    }

    /** The number of [instances] is known; relays on the hosts in [near] are asked first. */
    internal fun listed(instances: Int, near: Set<String>): QuotaClient = copy(
        instances = instances,
        order = relaysOf(policy).sortedBy { it.host !in near }.toPersistentList()
    )
}

private fun RelayContact.isFree(now: Instant): Boolean = question == null || isLost(now)

private fun seedOf(policy: QuotaPolicy): Long = when (policy) {
    QuotaPolicy.Off -> 0
    is QuotaPolicy.ThroughRelays -> policy.seed
}

/** The relays in the order in which this instance asks them: its own, then from another one on. */
private fun relaysOf(policy: QuotaPolicy): PersistentList<Address> = when (policy) {
    QuotaPolicy.Off -> persistentListOf()
    is QuotaPolicy.ThroughRelays -> {
        val relays = policy.relays
        val first = if (relays.isEmpty()) 0 else Math.floorMod(policy.seed, relays.size)
        (relays.drop(first) + relays.take(first)).sortedBy { it != policy.own }.toPersistentList()
    }
}
