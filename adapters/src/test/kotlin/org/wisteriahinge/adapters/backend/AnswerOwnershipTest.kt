package org.wisteriahinge.adapters.backend

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against an answer that reaches another request than its own. */
class AnswerOwnershipTest {
    private val repeats = AnswerOwnership.Repeats(HeaderField("Id", "b"))
    private val repeatsNothing = AnswerOwnership.RepeatsNothing("Id")

    private fun AnswerOwnership.owner(vararg repeated: String, isReused: Boolean = true) =
        ownerOf(repeated.toList(), isReused)

    @Test
    fun `an answer with the id of the request belongs to it`() {
        expectThat(repeats.owner("b")).isEqualTo(AnswerOwner.ThisRequest)
    }

    @Test
    fun `an answer with another id belongs to another request`() {
        expectThat(repeats.owner("a")).isEqualTo(AnswerOwner.OtherRequest)
    }

    @Test
    fun `an answer without an id may belong to any earlier request`() {
        expectThat(repeats.owner()).isEqualTo(AnswerOwner.Unknown)
    }

    @Test
    fun `the first answer on a connection needs no id`() {
        expectThat(repeats.owner(isReused = false)).isEqualTo(AnswerOwner.ThisRequest)
    }

    @Test
    fun `an answer with two ids was put together from two answers`() {
        expectThat(repeats.owner("a", "b")).isEqualTo(AnswerOwner.Unknown)
    }

    @Test
    fun `an answer with an id does not belong to a request without one`() {
        expectThat(repeatsNothing.owner("a")).isEqualTo(AnswerOwner.OtherRequest)
        expectThat(repeatsNothing.owner()).isEqualTo(AnswerOwner.ThisRequest)
    }
}
