package org.wisteriahinge.core

import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.nameWithoutExtension
import kotlin.io.path.readText
import kotlin.io.path.writeText
import org.junit.jupiter.api.Test
import org.wisteriahinge.charts.toMarkdown
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo

/** Guards against a page of charts that differs from the charts the code interprets. */
class ChartsPageTest {
    private val page = Path.of("../docs/charts.md")

    private fun generate(): String {
        val header = "# State charts\n\n" +
            "Generated from `core/src/main/resources/charts` by `ChartsPageTest`; " +
            "`mvn verify -pl core -am -Dcharts.write=true` writes it anew.\n"
        return header + ChartCatalog.loadAll().joinToString("") { "\n" + it.toMarkdown() }
    }

    @Test
    fun `the page shows the charts as they are interpreted`() {
        val generated = generate()
        if (System.getProperty("charts.write") == "true") page.writeText(generated)
        expectThat(page.readText()).isEqualTo(generated)
    }

    @Test
    fun `every chart file is in the catalog`() {
        val files = Path.of("src/main/resources/charts").listDirectoryEntries("*.yaml")
        expectThat(ChartCatalog.loadAll().map { it.name })
            .containsExactlyInAnyOrder(files.map { it.nameWithoutExtension })
    }
}
