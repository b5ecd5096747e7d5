package org.wisteriahinge.core

import com.github.michaelbull.result.getOrThrow
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.nameWithoutExtension
import kotlin.io.path.readText
import kotlin.io.path.writeText
import org.junit.jupiter.api.Test
import org.wisteriahinge.charts.compileChart
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo

/** Guards against a process that interprets other charts than the YAML files show. */
class CompiledChartsTest {
    private val folder = Path.of("src/main/resources/charts")

    @Test
    fun `each chart file has its compiled form`() {
        folder.listDirectoryEntries("*.yaml").forEach { file ->
            val compiled = folder.resolve(file.nameWithoutExtension + ".chart")
            val text = compileChart(file.name, file.readText())
                .getOrThrow { IllegalStateException(it.message) }
            if (System.getProperty("charts.write") == "true") compiled.writeText(text)
            expectThat(compiled.readText()).isEqualTo(text)
        }
    }

    @Test
    fun `no compiled form is left without its chart file`() {
        val sources = folder.listDirectoryEntries("*.yaml").map { it.nameWithoutExtension }
        val compiled = folder.listDirectoryEntries("*.chart").map { it.nameWithoutExtension }
        expectThat(compiled).containsExactlyInAnyOrder(sources)
    }
}
