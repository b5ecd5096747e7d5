package org.wisteriahinge.charts

/** A state, event or effect that a chart file refers to by [chartName]. */
public interface ChartName {
    /** Lower-case name with underscores, unique within its vocabulary. */
    public val chartName: String
}
