package org.wisteriahinge.adapters.lists

/** A fault in the list [file]. [line] is one-based, or 0 if the fault concerns the whole list. */
public data class ListFault(val file: String, val line: Int, val problem: String) {
    override fun toString(): String = "$file:$line: $problem"
}
