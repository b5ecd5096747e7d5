package org.wisteriahinge.bench.fuzz

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.state.Action
import net.jqwik.api.state.ActionChain
import net.jqwik.api.state.ActionChainArbitrary
import net.jqwik.api.state.Transformer
import strikt.api.expectThat
import strikt.assertions.isEmpty

private const val SEED = 20_260_101L
private const val MAX_STEPS = 150
private const val INSTANCES = 3

/**
 * Guards at-most-once work, certainty of "not run" and the caller's own whole answer against any
 * order of log, network, clock, instance and target faults.
 */
internal class StatefulFuzzTest {
    @Property(tries = 150, seed = "$SEED")
    fun `no sequence of faults breaks a guarantee`(@ForAll("chains") chain: ActionChain<World>) {
        val end = chain.run()
        expectThat(end.oracle.violations).isEmpty()
    }

    @Provide
    fun chains(): ActionChainArbitrary<World> =
        FuzzKind.all.fold(ActionChain.startWith { newWorld(SEED, INSTANCES) }) { chain, kind ->
            chain.withAction(kind.weight, StepOf(kind))
        }.withMaxTransformations(MAX_STEPS)

    private class StepOf(private val kind: FuzzKind) : Action.Independent<World> {
        override fun transformer(): Arbitrary<Transformer<World>> =
            Arbitraries.integers().map { draw ->
                val action = FuzzAction(kind, draw)
                Transformer.transform(action.toString()) { world -> world.perform(action) }
            }
    }
}
