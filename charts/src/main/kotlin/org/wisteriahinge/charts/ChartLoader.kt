package org.wisteriahinge.charts

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapError
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet

/**
 * Parses and validates the chart in [text].
 *
 * The result has all unknown names, or, if there are none, all other faults of the chart.
 *
 * @param file the file name for the messages of faults.
 */
public fun <S : ChartName, E : ChartName, A : ChartName> loadChart(
    file: String,
    text: String,
    vocabulary: ChartVocabulary<S, E, A>
): Result<Chart<S, E, A>, PersistentList<ChartFault>> = parseChartDocument(file, text)
    .mapError { persistentListOf(it) }
    .flatMap { validatedChart(file, it, vocabulary) }

private fun <S : ChartName, E : ChartName, A : ChartName> validatedChart(
    file: String,
    document: ChartDocument,
    vocabulary: ChartVocabulary<S, E, A>
): Result<Chart<S, E, A>, PersistentList<ChartFault>> {
    val faults = validateChart(file, document, vocabulary)
    return if (faults.isEmpty()) Ok(buildChart(document, vocabulary)) else Err(faults)
}

/**
 * Loads the chart `charts/<name>.yaml` from its compiled form on the class path.
 *
 * @throws InvalidChartException if the compiled form is missing or malformed, or any fault is
 * found; a process must not start with a chart that it cannot interpret.
 */
public fun <S : ChartName, E : ChartName, A : ChartName> loadChartResource(
    name: String,
    vocabulary: ChartVocabulary<S, E, A>
): Chart<S, E, A> {
    val file = "charts/$name.yaml"
    val compiled = "charts/$name.chart"
    val text = vocabulary::class.java.classLoader.getResourceAsStream(compiled)
        ?.use { it.readBytes().decodeToString() }
        ?: throw InvalidChartException("$compiled: not on the class path; reinstall the binary")
    val document = parseCompiledChart(file, text)
    return validatedChart(file, document, vocabulary).getOrElse { faults ->
        throw InvalidChartException(faults.joinToString("\n") { it.message })
    }
}

/** Thrown if a chart that the process needs is missing or invalid; the message lists the faults. */
public class InvalidChartException(message: String) : Exception(message)

private fun <S : ChartName, E : ChartName, A : ChartName> buildChart(
    document: ChartDocument,
    vocabulary: ChartVocabulary<S, E, A>
): Chart<S, E, A> {
    val states = vocabulary.states.byName()
    val events = vocabulary.events.byName()
    val effects = vocabulary.effects.byName()
    val transitions = document.states.associate { state ->
        states.getValue(state.name.name) to state.transitions.associate { transition ->
            val step = ChartStep(
                state = states.getValue(transition.target.name),
                effects = transition.effects.map { effects.getValue(it.name) }.toPersistentList()
            )
            events.getValue(transition.event.name) to step
        }.toPersistentMap()
    }
    return Chart(
        name = document.name,
        initial = states.getValue(document.initial.name),
        finalStates = document.states.filter { it.isFinal }
            .map { states.getValue(it.name.name) }.toPersistentSet(),
        transitions = transitions.toPersistentMap()
    )
}

internal fun <N : ChartName> List<N>.byName(): PersistentMap<String, N> =
    fold(persistentHashMapOf()) { map, name -> map.put(name.chartName, name) }
