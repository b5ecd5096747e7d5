package org.wisteriahinge.bench.fuzz

/** One kind of step; [weight] is its share of the steps of a run. */
internal sealed class FuzzKind(val name: String, val weight: Int) {
    /** What callers do. */
    sealed class OfCallers(name: String, weight: Int) : FuzzKind(name, weight)

    data object Send : OfCallers("send", 20)
    data object SendMany : OfCallers("send_many", 3)
    data object SendOddKey : OfCallers("send_odd_key", 2)
    data object Resend : OfCallers("resend", 24)
    data object ResendChanged : OfCallers("resend_changed", 2)
    data object Cancel : OfCallers("cancel", 5)

    /** How time passes; `Deliver` stops between any two messages. */
    sealed class OfTime(name: String, weight: Int) : FuzzKind(name, weight)

    data object Deliver : OfTime("deliver", 30)
    data object Advance : OfTime("advance", 14)
    data object AdvanceLong : OfTime("advance_long", 3)

    /** Faults of the log and of messages. */
    sealed class OfLog(name: String, weight: Int) : FuzzKind(name, weight)

    data object LogChanges : OfLog("log_changes", 6)
    data object LogRecovers : OfLog("log_recovers", 6)
    data object LogExpires : OfLog("log_expires", 3)
    data object MessagesChange : OfLog("messages_change", 3)

    /** Faults of instances. */
    sealed class OfNodes(name: String, weight: Int) : FuzzKind(name, weight)

    data object NodeStarts : OfNodes("node_starts", 3)
    data object NodeCrashes : OfNodes("node_crashes", 3)
    data object NodePauses : OfNodes("node_pauses", 8)
    data object NodeResumes : OfNodes("node_resumes", 8)
    data object ClockShifts : OfNodes("clock_shifts", 3)

    /** Faults of targets. */
    sealed class OfTargets(name: String, weight: Int) : FuzzKind(name, weight)

    data object TargetChanges : OfTargets("target_changes", 6)
    data object TargetRecovers : OfTargets("target_recovers", 8)
    data object TargetCrashes : OfTargets("target_crashes", 3)

    companion object {
        val all: List<FuzzKind>
            get() = listOf(
                Send, SendMany, SendOddKey, Resend,
                ResendChanged, Cancel, Deliver, Advance, AdvanceLong,
                LogChanges, LogRecovers, LogExpires, MessagesChange, NodeStarts, NodeCrashes,
                NodePauses, NodeResumes, ClockShifts, TargetChanges, TargetRecovers, TargetCrashes
            )
    }
}
