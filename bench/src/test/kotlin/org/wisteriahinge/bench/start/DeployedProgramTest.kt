package org.wisteriahinge.bench.start

import java.io.File
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.model.Address
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import strikt.assertions.isNotNull
import strikt.assertions.message
import strikt.assertions.none

/** Guards against a measurement of starts that runs another command than the deployment. */
class DeployedProgramTest {
    private val addresses = StartAddresses(
        callers = Address("127.0.0.1", 1_001),
        ready = Address("127.0.0.1", 1_002),
        store = Address("127.0.0.1", 1_003)
    )

    @Test
    fun `each placeholder of the deploy file gets a value`() {
        val command = DeployedProgram(File("..")).command(addresses)
        expectThat(command).none { contains("{{") }
        val at = command.indexOf("--caller-address")
        expectThat(command[at + 1]).isEqualTo("127.0.0.1:1001")
    }

    @Test
    fun `a folder without a deploy file is refused with the option to change`() {
        expectCatching { DeployedProgram(File("src")) }
            .isFailure()
            .message.isNotNull().contains("--root")
    }
}
