package org.wisteriahinge.charts

/** Returns the chart as a Markdown section with a state diagram and a table of transitions. */
public fun Chart<*, *, *>.toMarkdown(): String {
    val rows = rows()
    val edges = rows.map {
        "    ${it.state.chartName} --> ${it.step.state.chartName}: ${it.event.chartName}"
    }
    val finalEdges = finalStates.map { "    ${it.chartName} --> [*]" }
    val diagram = listOf("```mermaid", "stateDiagram-v2", "    [*] --> ${initial.chartName}") +
        edges + finalEdges + "```"
    val table = listOf("| state | event | next state | effects |", "| --- | --- | --- | --- |") +
        rows.map { it.toTableRow() }
    return (listOf("## $name", "") + diagram + "" + table + "").joinToString("\n")
}

private fun ChartRow<*, *, *>.toTableRow(): String {
    val effects = step.effects.joinToString { it.chartName }
    return "| ${state.chartName} | ${event.chartName} | ${step.state.chartName} | $effects |"
}
