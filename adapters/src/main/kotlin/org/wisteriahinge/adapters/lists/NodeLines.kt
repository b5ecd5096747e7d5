package org.wisteriahinge.adapters.lists

import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode

/**
 * The one-based line of the node at [path] below [node], or of the deepest node on the path if the
 * node itself is missing.
 */
internal tailrec fun lineOf(node: YamlNode, path: List<Any>): Int {
    val next = path.firstOrNull()?.let { step -> child(node, step) }
    return if (next == null) node.location.line else lineOf(next, path.drop(1))
}

private fun child(node: YamlNode, step: Any): YamlNode? = when (step) {
    is String -> (node as? YamlMap)?.get<YamlNode>(step)
    is Int -> (node as? YamlList)?.items?.getOrNull(step)
    else -> null
}
