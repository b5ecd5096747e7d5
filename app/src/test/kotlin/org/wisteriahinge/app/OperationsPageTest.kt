package org.wisteriahinge.app

import java.nio.file.Path
import kotlin.io.path.readText
import org.junit.jupiter.api.Test
import org.wisteriahinge.app.settings.Settings
import org.wisteriahinge.core.configuration.ConfigurationCounter
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize

/** Guards against a page for the person on call that lacks a setting, a reason or an outcome. */
class OperationsPageTest {
    private val page = Path.of("../docs/OPERATIONS.md").readText()

    @Test
    fun `every setting is on the page with its default`() {
        (Settings.ofInstance + Settings.ofFront).distinct().forEach { spec ->
            val row = page.lines().filter { it.startsWith("| `${spec.name}` |") }
            expectThat(row).describedAs(spec.name).hasSize(1)
            expectThat(row.first()).contains(spec.default.orEmpty())
        }
    }

    @Test
    fun `every outcome of the configuration is on the page`() {
        ConfigurationCounter.all.forEach { expectThat(page).contains("`${it.wireName}`") }
    }

    @Test
    fun `every refusal reason is on the page`() {
        val source = Path.of(
            "../core/src/main/kotlin/org/wisteriahinge/core/model/Refusal.kt"
        ).readText()
        Regex("RefusalReason\\(\\s*\"([a-z_]+)\"").findAll(source).map { it.groupValues[1] }
            .forEach { expectThat(page).contains("| `$it` |") }
    }
}
