package org.wisteriahinge.charts

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Test
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import strikt.assertions.isNotNull
import strikt.assertions.message

/** Guards against a compiled form that differs from its YAML file or is read in part. */
class CompiledChartTest {
    private val yaml = """
        name: door
        initial: shut
        states:
          shut:
            on:
              hard: { target: open, effects: [ring, creak] }
            ignore: [soft]
          open:
            on:
              soft: shut
            ignore: [hard]
          removed: { final: true }
    """.trimIndent()

    private fun compiled(): String = compileChart("door.yaml", yaml).get().orEmpty()

    @Test
    fun `the compiled form is the same document as the YAML file`() {
        expectThat(parseCompiledChart("door.yaml", compiled()))
            .isEqualTo(parseChartDocument("door.yaml", yaml).get())
    }

    @Test
    fun `a malformed YAML file is not compiled`() {
        expectThat(compileChart("door.yaml", "name: [").getError()).isNotNull()
    }

    @Test
    fun `a cut line is reported with its number`() {
        val cut = compiled().replace("state shut:4", "state shut")
        expectCatching { parseCompiledChart("door.yaml", cut) }.isFailure()
            .isA<InvalidChartException>()
            .message.isNotNull().contains("line 3: found 'state shut', expected NAME:LINE")
    }

    @Test
    fun `a transition without a state is reported`() {
        expectCatching { parseCompiledChart("door.yaml", "chart door\non hard:1 open:1\n") }
            .isFailure().isA<InvalidChartException>()
            .message.isNotNull().contains("line 2")
    }

    @Test
    fun `an unknown keyword is reported`() {
        expectCatching { parseCompiledChart("door.yaml", "chart door\nstat shut:1\n") }
            .isFailure().isA<InvalidChartException>()
            .message.isNotNull().contains("expected one of chart, initial, state")
    }
}
