package org.wisteriahinge.charts

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.map

class ChartLoaderTest {
    private sealed class Door(override val chartName: String) : ChartName {
        data object Open : Door("open")
        data object Shut : Door("shut")
    }

    private sealed class Push(override val chartName: String) : ChartName {
        data object Hard : Push("hard")
        data object Soft : Push("soft")
    }

    private data object Ring : ChartName {
        override val chartName = "ring"
    }

    private val vocabulary = ChartVocabulary(
        states = persistentListOf(Door.Open, Door.Shut),
        events = persistentListOf(Push.Hard, Push.Soft),
        effects = persistentListOf(Ring)
    )

    private fun messages(text: String): List<String> =
        loadChart("door.yaml", text, vocabulary).getError().orEmpty().map { it.message }

    @Test
    fun `a valid chart steps along transitions and keeps its state on ignored events`() {
        val text = """
            name: door
            initial: shut
            states:
              shut:
                on:
                  hard: { target: open, effects: [ring] }
                ignore: [soft]
              open:
                on:
                  soft: shut
                ignore: [hard]
        """.trimIndent()
        val chart = loadChart("door.yaml", text, vocabulary).get()
        expectThat(chart).isNotNull()
        expectThat(chart?.step(Door.Shut, Push.Hard))
            .isEqualTo(ChartStep(Door.Open, persistentListOf(Ring)))
        expectThat(chart?.step(Door.Shut, Push.Soft)?.state).isEqualTo(Door.Shut)
    }

    @Test
    fun `an unknown name is reported with file, line and known names`() {
        val text = """
            name: door
            initial: shut
            states:
              shut:
                on:
                  kick: open
              open: { final: true }
        """.trimIndent()
        expectThat(messages(text))
            .containsExactly("door.yaml:6: unknown event 'kick'; use one of hard, soft")
    }

    @Test
    fun `unreachable states and missing transitions are reported together`() {
        val text = """
            name: door
            initial: shut
            states:
              shut:
                on:
                  hard: shut
              open:
                on:
                  soft: shut
                ignore: [hard]
        """.trimIndent()
        expectThat(messages(text)).containsExactly(
            "door.yaml:7: state 'open' is unreachable; add a transition to it",
            "door.yaml:4: state 'shut' has no transition for 'soft'; " +
                "add it under 'on' or list it under 'ignore'"
        )
    }

    @Test
    fun `an unknown key is reported with its line`() {
        val text = """
            name: door
            initial: shut
            states:
              shut: { finale: true }
        """.trimIndent()
        expectThat(loadChart("door.yaml", text, vocabulary).getError()).isNotNull()
            .map { it.line }.containsExactly(4)
    }
}
