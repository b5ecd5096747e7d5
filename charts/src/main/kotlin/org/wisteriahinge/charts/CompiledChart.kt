package org.wisteriahinge.charts

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

private const val CHART = "chart"
private const val INITIAL = "initial"
private const val STATE = "state"
private const val ON = "on"
private const val IGNORE = "ignore"
private const val FINAL = "final"

/**
 * Translates the YAML in [text] to the compiled form, which a process reads at its start.
 *
 * The compiled form has one keyword and its names on each line, every name with the line of the
 * YAML file, so that faults are still reported there. It is read without a YAML parser, whose
 * classes would delay the start.
 */
public fun compileChart(file: String, text: String): Result<String, ChartFault> =
    parseChartDocument(file, text).map { it.toCompiledForm() }

private fun ChartDocument.toCompiledForm(): String {
    val head = listOf("$CHART $name", "$INITIAL ${initial.encode()}")
    return (head + states.flatMap { it.toLines() }).joinToString("\n", postfix = "\n")
}

private fun StateNode.toLines(): List<String> {
    val ignoredLine = if (ignored.isEmpty()) null else encodeLine(IGNORE, ignored)
    val finalLine = if (isFinal) FINAL else null
    return listOf("$STATE ${name.encode()}") +
        transitions.map { encodeLine(ON, persistentListOf(it.event, it.target) + it.effects) } +
        listOfNotNull(ignoredLine, finalLine)
}

private fun encodeLine(keyword: String, names: List<LocatedName>): String =
    names.joinToString(" ", prefix = "$keyword ") { it.encode() }

private fun LocatedName.encode(): String = "$name:$line"

/** Reads the compiled form of the chart file [file]. */
internal fun parseCompiledChart(file: String, text: String): ChartDocument =
    text.lineSequence().filter { it.isNotEmpty() }
        .foldIndexed(ChartDocument("", LocatedName("", 0), persistentListOf())) {
                index,
                chart,
                line
            ->
            chart.withLine(CompiledLine(file, index + 1, line))
        }

/** One line of the compiled form: a keyword and its names. */
private class CompiledLine(private val file: String, private val number: Int, text: String) {
    private val words: List<String> = text.split(' ')
    val keyword: String get() = words.first()

    fun word(index: Int): String = words.getOrNull(index) ?: malformed("${index + 1} words")

    fun name(index: Int): LocatedName = decode(word(index))

    fun namesFrom(index: Int): PersistentList<LocatedName> =
        words.drop(index).map(::decode).toPersistentList()

    private fun decode(word: String): LocatedName {
        val line = word.substringAfterLast(':', "").toIntOrNull() ?: malformed("NAME:LINE")
        return LocatedName(word.substringBeforeLast(':'), line)
    }

    fun malformed(expected: String): Nothing = throw InvalidChartException(
        "compiled form of $file, line $number: found '${words.joinToString(" ")}', " +
            "expected $expected; compile the chart again"
    )
}

private fun ChartDocument.withLine(line: CompiledLine): ChartDocument = when (line.keyword) {
    CHART -> copy(name = line.word(1))
    INITIAL -> copy(initial = line.name(1))
    STATE -> copy(
        states = states.add(StateNode(line.name(1), persistentListOf(), persistentListOf(), false))
    )
    ON -> withState(line) {
        val transition = TransitionNode(line.name(1), line.name(2), line.namesFrom(3))
        it.copy(transitions = it.transitions.add(transition))
    }
    IGNORE -> withState(line) { it.copy(ignored = line.namesFrom(1)) }
    FINAL -> withState(line) { it.copy(isFinal = true) }
    else -> line.malformed("one of $CHART, $INITIAL, $STATE, $ON, $IGNORE, $FINAL")
}

private fun ChartDocument.withState(
    line: CompiledLine,
    change: (StateNode) -> StateNode
): ChartDocument {
    val last = states.lastOrNull() ?: line.malformed("a line with $STATE first")
    return copy(states = states.set(states.lastIndex, change(last)))
}
