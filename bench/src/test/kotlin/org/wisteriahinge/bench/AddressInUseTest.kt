package org.wisteriahinge.bench

import java.io.File
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.TimeUnit
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

private const val MAIN_CLASS = "org.wisteriahinge.app.MainKt"
private const val BACKLOG = 1

/** Guards against an instance that cannot listen and ends as after a planned stop. */
class AddressInUseTest {
    @Test
    fun `an instance whose address for other instances is in use fails and names it`() {
        ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()).use { taken ->
            val handover = "127.0.0.1:${taken.localPort}"
            val process = launch(handover)
            val output = process.inputStream.bufferedReader().readText()
            expectThat(process.waitFor(60, TimeUnit.SECONDS)).isTrue()
            expectThat(process.exitValue()).isEqualTo(1)
            expectThat(output).contains("cannot listen").contains(handover)
        }
    }

    private fun launch(handover: String): Process {
        val java = File(System.getProperty("java.home"), "bin/java").path
        val program = listOf("-cp", System.getProperty("java.class.path"), MAIN_CLASS, "front")
        val settings = listOf(
            "--zone" to "a",
            "--instance-name" to "front-1",
            "--caller-address" to "127.0.0.1:${freePort()}",
            "--ready-address" to "127.0.0.1:${freePort()}",
            "--store-address" to "127.0.0.1:${freePort()}",
            "--handover-address" to handover
        ).flatMap { (flag, value) -> listOf(flag, value) }
        return ProcessBuilder(listOf(java) + program + settings).redirectErrorStream(true).start()
    }
}
