package org.wisteriahinge.adapters.quota

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.handler.codec.http.HttpResponseStatus
import java.time.Clock
import kotlinx.collections.immutable.PersistentMap
import kotlinx.serialization.SerializationException
import org.wisteriahinge.adapters.backend.IoLoop
import org.wisteriahinge.adapters.http.InternalAnswer
import org.wisteriahinge.adapters.http.InternalExchange
import org.wisteriahinge.adapters.metrics.QuotaOwnerMetrics
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.RequestQuota
import org.wisteriahinge.core.quota.QuotaOwner
import org.wisteriahinge.core.quota.QuotaOwnerEvent

private val logger = KotlinLogging.logger {}

/**
 * Grants tokens of customers' quotas to instances that ask for them: the share of one of
 * [relayCount] relays.
 *
 * All state is confined to [loop].
 */
public class QuotaEndpoint(relayCount: Int, private val loop: IoLoop, private val clock: Clock) {
    /** What this relay granted. */
    public val metrics: QuotaOwnerMetrics = QuotaOwnerMetrics()

    private var owner = QuotaOwner(relayCount)

    /** Grants tokens of [quotas] from now on. Safe to call from any thread. */
    public fun configure(quotas: PersistentMap<CustomerId, RequestQuota>) {
        loop.run {
            val before = owner.accounts.size
            owner = owner.decide(QuotaOwnerEvent.Configured(quotas), clock.instant()).state
            metrics.ownedCustomers(quotas.size)
            logChange(before)
        }
    }

    private fun logChange(before: Int) {
        val after = owner.accounts.size
        if (before == after) return
        logger.info {
            "granting the tokens of $after customers with quotas, before of $before, as one of " +
                "${owner.relayCount} relays"
        }
    }

    /** Answers [exchange], which asks for tokens. */
    internal fun answer(exchange: InternalExchange) {
        val wants = try {
            decodeWants(exchange.body)
        } catch (_: SerializationException) {
            return exchange.answer(InternalAnswer(HttpResponseStatus.BAD_REQUEST))
        }
        val decision = owner.decide(QuotaOwnerEvent.Asked(wants), clock.instant())
        owner = decision.state
        val granted = decision.grants.sumOf { it.tokens }
        metrics.answered(granted, wants.sumOf { it.tokens } - granted)
        val body = encodeGrants(decision.grants)
        exchange.answer(InternalAnswer(HttpResponseStatus.OK, body, "application/cbor"))
    }
}
