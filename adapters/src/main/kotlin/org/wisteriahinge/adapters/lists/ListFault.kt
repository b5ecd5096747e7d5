package org.wisteriahinge.adapters.lists

/** Something wrong in a list; [line] is one-based, 0 when the whole list is concerned. */
public data class ListFault(val file: String, val line: Int, val problem: String) {
    override fun toString(): String = "$file:$line: $problem"
}
