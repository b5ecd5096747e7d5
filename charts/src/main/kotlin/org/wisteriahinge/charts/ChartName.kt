package org.wisteriahinge.charts

/** A state, event or effect, which chart files refer to by its [chartName]. */
public interface ChartName {
    /** Lower-case name with underscores, unique within its vocabulary. */
    public val chartName: String
}
