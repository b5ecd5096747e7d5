package org.wisteriahinge.bench.fuzz

import java.time.Duration
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.model.TargetId

private const val SLOTS = 3

internal fun World.requestArrives(ref: AttemptRef): World {
    val target = targets.getValue(ref.attempt.target.id)
    return when (target.mode) {
        TargetMode.Down -> answer(ref, AttemptEnd.Failure(AttemptFailure.ConnectFailed))
        TargetMode.Draining -> answer(ref, AttemptEnd.Failure(AttemptFailure.TargetDraining))
        TargetMode.Shedding -> answer(ref, AttemptEnd.Failure(AttemptFailure.Shed))
        TargetMode.Serving -> run(ref, target, millis(random().nextInt(1, 200)))
        TargetMode.Late -> run(ref, target, millis(random().nextInt(5_000, 20_000)))
    }
}

private fun World.run(ref: AttemptRef, target: FakeTarget, service: Duration): World =
    if (target.running.size >= SLOTS) {
        answer(ref, AttemptEnd.Failure(AttemptFailure.Shed))
    } else {
        copy(
            targets = targets.put(
                ref.attempt.target.id,
                target.copy(running = target.running.add(ref))
            ),
            oracle = oracle.ran(ref.copy)
        ).schedule(service, Delivery.RunEnds(ref))
    }

internal fun World.runEnds(ref: AttemptRef): World {
    val target = targets.getValue(ref.attempt.target.id)
    if (ref !in target.running) return this
    val ended = target.copy(running = target.running.remove(ref))
    val body = oracle.requests.getValue(ref.copy).answer
    return copy(targets = targets.put(ref.attempt.target.id, ended))
        .answer(ref, AttemptEnd.Answer(body))
}

private fun World.answer(ref: AttemptRef, end: AttemptEnd): World = schedule(
    millis(random().nextInt(1, 5)),
    Delivery.AttemptEnded(ref.copy.instance, ref, end)
)

/** The target stops at once; what it was running is cut off. */
internal fun World.crashTarget(id: TargetId): World {
    val target = targets.getValue(id)
    val stopped = copy(targets = targets.put(id, FakeTarget(TargetMode.Down)))
    return target.running.fold(stopped) { world, ref ->
        world.answer(ref, AttemptEnd.Failure(AttemptFailure.Disconnected))
    }
}
