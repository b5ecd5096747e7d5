package org.wisteriahinge.adapters.backend

import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.model.Target
import org.wisteriahinge.core.quarantine.ServerCheckOutcome
import org.wisteriahinge.core.quarantine.Witness

/** Time within which a process that still runs answers; a target answers checks without a slot. */
private val CHECK_TIMEOUT: Duration = Duration.ofMillis(250)

/**
 * Checks whether the process of a target still runs, after a connection to it broke, and passes the
 * outcome to [report], which must not block.
 *
 * A refused or reset connection shows the end of a process only while other targets can be reached;
 * silence shows a broken link or a suspended machine. Answers name their target in
 * [targetIdHeader]; [ownership] tells them from those to calls.
 */
public class ServerChecker(
    private val backend: BackendClient,
    private val targetIdHeader: String,
    private val ownership: AnswerOwnership,
    private val report: (CallEvent) -> Unit
) {
    /** Starts the check that [effect] describes and returns at once. */
    public fun check(effect: CallEffect.CheckServer) {
        request(effect.target, effect.path) { reply ->
            when (reply) {
                is Reply.Answered -> effect.target.checked(outcomeOf(reply, effect.target))
                Reply.Silent -> effect.target.checked(ServerCheckOutcome.Unknown)
                Reply.Refused ->
                    if (effect.witnesses.isEmpty()) {
                        effect.target.checked(ServerCheckOutcome.Ended)
                    } else {
                        askWitnesses(effect.target, effect.witnesses)
                    }
            }
        }
    }

    private fun outcomeOf(reply: Reply.Answered, target: Target): ServerCheckOutcome =
        if (reply.targetId == target.id.value) {
            ServerCheckOutcome.Running
        } else {
            ServerCheckOutcome.Ended
        }

    /** [target] refuses connections; it has ended if one of the [witnesses] answers. */
    private fun askWitnesses(target: Target, witnesses: PersistentList<Witness>) {
        val next = witnesses.firstOrNull()
            ?: return target.checked(ServerCheckOutcome.Unconfirmed)
        request(next.target, next.path) { reply ->
            when (reply) {
                is Reply.Answered -> target.checked(ServerCheckOutcome.Ended)
                Reply.Silent, Reply.Refused -> askWitnesses(target, witnesses.removeAt(0))
            }
        }
    }

    private fun Target.checked(outcome: ServerCheckOutcome) {
        report(CallEvent.ServerChecked(id, outcome))
    }

    private fun request(target: Target, path: String, onReply: (Reply) -> Unit) {
        val request = probeRequest(path, CHECK_TIMEOUT, ownership)
        backend.send(target.address, request, Check(targetIdHeader, onReply))
    }
}

/** How a server reacted to the request of a check. */
private sealed interface Reply {
    /** It answered under [targetId]; null if it named none. */
    data class Answered(val targetId: String?) : Reply

    /** It refused the connection or closed it. */
    data object Refused : Reply

    /** It did not react in time. */
    data object Silent : Reply
}

private class Check(private val targetIdHeader: String, private val onReply: (Reply) -> Unit) :
    AnswerObserver {
    override fun answered(answer: BackendAnswer) {
        onReply(Reply.Answered(answer.header(targetIdHeader)))
        (answer.body as? AnswerBody.Streamed)?.flow?.discard()
    }

    override fun failed(failure: AttemptFailure, detail: String) {
        onReply(if (failure.isReaction()) Reply.Refused else Reply.Silent)
    }

    override fun received(piece: ByteArray) = Unit

    override fun completed() = Unit

    override fun truncated(detail: String) = Unit
}

/** Whether something at the address of the server caused this failure. */
private fun AttemptFailure.isReaction(): Boolean = when (this) {
    AttemptFailure.ConnectFailed,
    AttemptFailure.Shed,
    AttemptFailure.TargetDraining,
    AttemptFailure.WrongTarget,
    AttemptFailure.Disconnected,
    AttemptFailure.Truncated,
    AttemptFailure.InvalidAnswer -> true
    AttemptFailure.NotSent,
    AttemptFailure.HandoverDeclined,
    AttemptFailure.HandoverFailed,
    AttemptFailure.TimedOut -> false
}
