package org.wisteriahinge.runtime

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentList

/** Receives the result of an append on the `log` duty's thread, so it must not block. */
public fun interface AppendCallback {
    public fun accept(outcome: Result<Long, LogFailure>)
}

/** An append that the `log` duty is to perform. */
public class AppendRequest(
    public val stream: LogStream,
    public val appendId: String,
    public val records: PersistentList<ByteArray>,
    public val onOutcome: AppendCallback
)

/** Performs appends one at a time, in the order of their requests. */
public class LogDuty(private val inbox: Ring<AppendRequest>, private val log: PlatformLog) :
    Duty("log") {
    override fun runOnce() {
        val request = inbox.take()
        request.onOutcome.accept(log.append(request.stream, request.appendId, request.records))
    }
}

/** Queues [request] for the `log` duty; if the ring is full, the append fails at once. */
public fun Ring<AppendRequest>.submit(request: AppendRequest) {
    if (offer(request) == Offer.Full) {
        request.onOutcome.accept(Err(LogFailure.Unavailable("the append queue is full")))
    }
}
