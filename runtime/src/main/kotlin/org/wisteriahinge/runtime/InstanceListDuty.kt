package org.wisteriahinge.runtime

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import java.time.Duration
import org.wisteriahinge.core.membership.MembershipEvent

private val logger = KotlinLogging.logger {}

/** Reads the platform's instance list every [period] and sends it to the membership duty. */
public class InstanceListDuty(
    private val list: InstanceList,
    private val membership: Ring<MembershipEvent>,
    private val period: Duration
) : Duty("instance-list") {
    override fun runOnce() {
        list.read()
            .onSuccess { report(MembershipEvent.Listed(it)) }
            .onFailure { logger.warn { it.message } }
        Thread.sleep(period.toMillis())
    }

    /** Drops the list if the ring is full, because the next period brings a newer one. */
    private fun report(event: MembershipEvent.Listed) {
        if (membership.offer(event) == Offer.Full) {
            logger.warn {
                "ring ${membership.name} is full; dropped one instance list, the next replaces it"
            }
        }
    }
}
