package org.wisteriahinge.bench.configuration

import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/** Guards against a configuration that spreads too slowly or reverts. All times are virtual. */
class ConfigSpreadTest {
    @Test
    fun `racing revisions are in force everywhere within 4 s and never revert`() {
        listOf(1L, 2L).forEach { seed ->
            val result = runConfigSpread(seed)
            expectThat(result["max_spread_ms"]?.jsonPrimitive?.long ?: Long.MAX_VALUE)
                .isLessThan(4_000)
            expectThat(result["reverted"]?.jsonPrimitive?.long).isEqualTo(0)
            expectThat(result["in_force_everywhere"]?.jsonPrimitive?.content).isEqualTo("true")
        }
    }
}
