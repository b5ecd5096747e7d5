package org.wisteriahinge.charts

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlScalar
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** A name in a chart file, with the number of its line, counted from 1. */
internal data class LocatedName(val name: String, val line: Int)

/** A transition of a [StateNode], with unresolved names. */
internal data class TransitionNode(
    val event: LocatedName,
    val target: LocatedName,
    val effects: PersistentList<LocatedName>
)

/** A state of a [ChartDocument], with unresolved names. */
internal data class StateNode(
    val name: LocatedName,
    val transitions: PersistentList<TransitionNode>,
    val ignored: PersistentList<LocatedName>,
    val isFinal: Boolean
)

/** The parsed content of a chart file, before its names are resolved with a [ChartVocabulary]. */
internal data class ChartDocument(
    val name: String,
    val initial: LocatedName,
    val states: PersistentList<StateNode>
)

internal class MalformedChartException(val fault: ChartFault.Malformed) :
    Exception(fault.message)

internal fun parseChartDocument(file: String, text: String): Result<ChartDocument, ChartFault> =
    try {
        Ok(ChartDocumentReader(file).read(Yaml.default.parseToYamlNode(text)))
    } catch (e: YamlException) {
        Err(ChartFault.Malformed(file, e.line, e.message, "valid YAML"))
    } catch (e: MalformedChartException) {
        Err(e.fault)
    }

private class ChartDocumentReader(private val file: String) {
    fun read(root: YamlNode): ChartDocument {
        val map = root.asMap("a map with name, initial and states")
        map.rejectUnknownKeys("name", "initial", "states")
        return ChartDocument(
            name = map.required("name").asName().name,
            initial = map.required("initial").asName(),
            states = map.required("states").asMap("a map of states").entries
                .map { (key, value) -> readState(key, value) }
                .toPersistentList()
        )
    }

    private fun readState(key: YamlScalar, value: YamlNode): StateNode {
        val map = value.asMap("a map with on, ignore or final")
        map.rejectUnknownKeys("on", "ignore", "final")
        val transitions = map.optional("on")?.asMap("a map of events")?.entries.orEmpty()
            .map { (event, target) -> readTransition(event, target) }
        return StateNode(
            name = key.asName(),
            transitions = transitions.toPersistentList(),
            ignored = map.optional("ignore").asNames(),
            isFinal = map.optional("final")?.asName()?.name == "true"
        )
    }

    private fun readTransition(event: YamlScalar, value: YamlNode): TransitionNode {
        if (value is YamlScalar) {
            return TransitionNode(event.asName(), value.asName(), persistentListOf())
        }
        val map = value.asMap("a state name or a map with target and effects")
        map.rejectUnknownKeys("target", "effects")
        return TransitionNode(
            event = event.asName(),
            target = map.required("target").asName(),
            effects = map.optional("effects").asNames()
        )
    }

    private fun YamlNode.asMap(expected: String): YamlMap =
        this as? YamlMap ?: malformed(this, expected)

    private fun YamlNode.asName(): LocatedName {
        val scalar = this as? YamlScalar ?: malformed(this, "a name")
        return LocatedName(scalar.content, scalar.location.line)
    }

    private fun YamlNode?.asNames(): PersistentList<LocatedName> {
        if (this == null) return persistentListOf()
        val list = this as? YamlList ?: malformed(this, "a list of names")
        return list.items.map { it.asName() }.toPersistentList()
    }

    private fun YamlMap.optional(key: String): YamlNode? = get<YamlNode>(key)

    private fun YamlMap.required(key: String): YamlNode =
        optional(key) ?: malformed(this, "the key '$key'")

    private fun YamlMap.rejectUnknownKeys(vararg known: String) {
        entries.keys.firstOrNull { it.content !in known }
            ?.let { malformed(it, "one of ${known.joinToString()}") }
    }

    private fun malformed(node: YamlNode, expected: String): Nothing {
        val found = if (node is YamlScalar) "'${node.content}'" else "a different structure"
        throw MalformedChartException(
            ChartFault.Malformed(file, node.location.line, found, expected)
        )
    }
}
