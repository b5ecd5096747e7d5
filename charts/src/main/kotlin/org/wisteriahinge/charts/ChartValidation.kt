package org.wisteriahinge.charts

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList

internal fun validateChart(
    file: String,
    document: ChartDocument,
    vocabulary: ChartVocabulary<*, *, *>
): PersistentList<ChartFault> {
    val unknown = unknownNames(file, document, vocabulary)
    val faults = unknown.ifEmpty {
        unusedNames(file, document, vocabulary) +
            unreachableStates(file, document) +
            missingTransitions(file, document, vocabulary)
    }
    return faults.toPersistentList()
}

private fun unknownNames(
    file: String,
    document: ChartDocument,
    vocabulary: ChartVocabulary<*, *, *>
): List<ChartFault> {
    val transitions = document.states.flatMap { it.transitions }
    val states = document.states.map { it.name } + document.initial + transitions.map { it.target }
    val events = transitions.map { it.event } + document.states.flatMap { it.ignored }
    val effects = transitions.flatMap { it.effects }
    return unknownOfKind(file, "state", states, vocabulary.states) +
        unknownOfKind(file, "event", events, vocabulary.events) +
        unknownOfKind(file, "effect", effects, vocabulary.effects)
}

private fun unknownOfKind(
    file: String,
    kind: String,
    used: List<LocatedName>,
    known: List<ChartName>
): List<ChartFault> {
    val names = known.map { it.chartName }
    return used.filter { it.name !in names }
        .map { ChartFault.UnknownName(file, it.line, kind, it.name, names) }
}

private fun unusedNames(
    file: String,
    document: ChartDocument,
    vocabulary: ChartVocabulary<*, *, *>
): List<ChartFault> {
    val stateNames = document.states.map { it.name.name }
    val eventNames = document.states.flatMap { state -> state.transitions.map { it.event.name } }
    val unusedStates = vocabulary.states.map { it.chartName }.filter { it !in stateNames }
        .map { ChartFault.UnusedName(file, "state", it) }
    val unusedEvents = vocabulary.events.map { it.chartName }.filter { it !in eventNames }
        .map { ChartFault.UnusedName(file, "event", it) }
    return unusedStates + unusedEvents
}

private fun unreachableStates(file: String, document: ChartDocument): List<ChartFault> {
    val reached = reachableFrom(document, persistentSetOf(document.initial.name))
    return document.states.filter { it.name.name !in reached }
        .map { ChartFault.UnreachableState(file, it.name.line, it.name.name) }
}

private tailrec fun reachableFrom(
    document: ChartDocument,
    reached: PersistentSet<String>
): PersistentSet<String> {
    val next = document.states.filter { it.name.name in reached }
        .flatMap { state -> state.transitions.map { it.target.name } }
    val extended = reached.addAll(next)
    return if (extended.size == reached.size) reached else reachableFrom(document, extended)
}

private fun missingTransitions(
    file: String,
    document: ChartDocument,
    vocabulary: ChartVocabulary<*, *, *>
): List<ChartFault> = document.states.filterNot { it.isFinal }.flatMap { state ->
    val covered = state.transitions.map { it.event.name } + state.ignored.map { it.name }
    vocabulary.events.map { it.chartName }.filter { it !in covered }
        .map { ChartFault.MissingTransition(file, state.name.line, state.name.name, it) }
}
