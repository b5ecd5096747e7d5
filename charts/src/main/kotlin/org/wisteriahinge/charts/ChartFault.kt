package org.wisteriahinge.charts

/** Why a chart file was rejected. [message] has the file, the line and how to correct it. */
public sealed class ChartFault {
    public abstract val file: String

    /** The line in [file], counted from 1; 0 if the fault concerns the whole file. */
    public abstract val line: Int

    public abstract val message: String

    /** The file is not valid YAML, or a part of it has an unexpected structure. */
    public data class Malformed(
        override val file: String,
        override val line: Int,
        val found: String,
        val expected: String
    ) : ChartFault() {
        override val message: String
            get() = "$file:$line: found $found, expected $expected; correct the chart file"
    }

    /** The file uses a name that the [ChartVocabulary] does not have. */
    public data class UnknownName(
        override val file: String,
        override val line: Int,
        val kind: String,
        val name: String,
        val known: List<String>
    ) : ChartFault() {
        override val message: String
            get() = "$file:$line: unknown $kind '$name'; use one of ${known.joinToString()}"
    }

    /** No sequence of events leads from the initial state to [state]. */
    public data class UnreachableState(
        override val file: String,
        override val line: Int,
        val state: String
    ) : ChartFault() {
        override val message: String
            get() = "$file:$line: state '$state' is unreachable; add a transition to it"
    }

    /** A non-final state neither handles nor ignores [event]. */
    public data class MissingTransition(
        override val file: String,
        override val line: Int,
        val state: String,
        val event: String
    ) : ChartFault() {
        override val message: String
            get() =
                "$file:$line: state '$state' has no transition for '$event'; " +
                    "add it under 'on' or list it under 'ignore'"
    }

    /** A state or event of the [ChartVocabulary] does not appear in the file. */
    public data class UnusedName(override val file: String, val kind: String, val name: String) :
        ChartFault() {
        override val line: Int get() = 0
        override val message: String
            get() = "$file: $kind '$name' does not appear; add it to the chart file"
    }
}
