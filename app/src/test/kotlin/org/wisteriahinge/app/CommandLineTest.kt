package org.wisteriahinge.app

import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.wisteriahinge.app.command.CommandContext
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Guards against unclear messages, wrong exit codes and printed secrets. */
class CommandLineTest {
    @TempDir
    lateinit var directory: Path

    private class Finished(val code: Int, val out: String, val err: String) {
        val problems get() = err.lines().filter { it.isNotEmpty() }
    }

    private fun execute(
        vararg arguments: String,
        environment: PersistentMap<String, String> = persistentMapOf()
    ): Finished {
        val out = ByteArrayOutputStream()
        val err = ByteArrayOutputStream()
        val context = CommandContext(environment, PrintStream(out), PrintStream(err))
        val code = CommandLine(context).run(arguments.toList())
        return Finished(code, out.toString(), err.toString())
    }

    private fun file(name: String, text: String): String =
        Files.writeString(directory.resolve(name), text).toString()

    @Test
    fun `wrong usage is one line and exit code 2`() {
        listOf(
            execute() to "a command is required",
            execute("frobnicate") to "unknown command 'frobnicate'",
            execute("run", "--zome", "a") to "unknown flag '--zome'",
            execute("show", "--log-url") to "flag '--log-url' needs a value",
            execute("show", "extra") to "unexpected argument 'extra'"
        ).forEach { (finished, problem) ->
            expectThat(finished.code).isEqualTo(ExitCode.USAGE)
            expectThat(finished.problems).hasSize(1)
            expectThat(finished.err).contains(problem)
        }
    }

    @Test
    fun `all faults of settings are listed at once with the remedy`() {
        val finished = execute(
            "run",
            "--caller-port",
            "70000",
            "--default-timeout-ms",
            "soon",
            "--instance-list-url",
            "http://10.0.0.9:7000",
            environment = persistentMapOf("WISTERIAHINGE_LOG_URL" to "ftp://log/")
        )
        expectThat(finished.code).isEqualTo(ExitCode.USAGE)
        expectThat(finished.problems).hasSize(6)
        expectThat(finished.err)
            .contains("caller-port: found '70000' from flag --caller-port, expected a port number")
            .contains("log-url: found 'ftp://log/' from environment variable")
            .contains("zone: no value, expected a word")
            .contains("set --zone or WISTERIAHINGE_ZONE")
            .contains("WISTERIAHINGE_CREDENTIAL_KEY_FILE")
            .contains("peer-key: no value, expected one because instance-list-url is set")
    }

    @Test
    fun `settings are printed with their source and without secrets`() {
        val key = file("key", "a-secret-from-a-file\n")
        val finished = execute(
            "settings",
            "--zone",
            "delta-1",
            "--credential-key-file",
            key,
            environment = persistentMapOf(
                "WISTERIAHINGE_LOG_URL" to "http://10.0.0.1:9000",
                "WISTERIAHINGE_PEER_KEY" to "a-secret-from-the-environment",
                "WISTERIAHINGE_ZONE" to "overridden"
            )
        )
        expectThat(finished.problems).isEmpty()
        expectThat(finished.code).isEqualTo(ExitCode.DONE)
        expectThat(finished.out)
            .contains("zone = delta-1   # flag --zone")
            .contains("log-url = http://10.0.0.1:9000   # environment variable")
            .contains("caller-port = 8080   # default")
            .contains("credential-key = (secret, 20 characters)   # file $key")
            .not().contains("a-secret")
    }

    @Test
    fun `a faulty secret is not printed`() {
        val finished = execute(
            "settings",
            environment = persistentMapOf("WISTERIAHINGE_CREDENTIAL_KEY" to "short-secret")
        )
        expectThat(finished.err).contains("credential-key: found a secret").not().contains("short")
        expectThat(finished.out).not().contains("short-secret")
    }

    @Test
    fun `a broken list is refused with its file and line`() {
        val customers = file("mine.yaml", "format: 1\ncustomers:\n  - name: a\n    plam: b\n")
        val entitlements = file("e.yaml", "format: 1\nservices: []\nplans: []\n")
        val finished = execute("check", "--customers", customers, "--entitlements", entitlements)
        expectThat(finished.code).isEqualTo(ExitCode.USAGE)
        expectThat(finished.err).contains("mine.yaml:")
    }

    @Test
    fun `a missing list is named`() {
        val finished = execute("check", "--customers", "$directory/absent.yaml")
        expectThat(finished.code).isEqualTo(ExitCode.USAGE)
        expectThat(finished.problems).hasSize(1)
        expectThat(finished.err).contains("cannot read '$directory/absent.yaml'")
    }

    @Test
    fun `a log that is down is one line and exit code 1`() {
        val port = ServerSocket(0).use { it.localPort }
        listOf("show", "revisions").forEach { command ->
            val finished = execute(command, "--log-url", "http://127.0.0.1:$port")
            expectThat(finished.code).isEqualTo(ExitCode.FAILED)
            expectThat(finished.problems).hasSize(1)
            expectThat(finished.err).contains("log service is unavailable")
        }
    }

    @Test
    fun `a publication must name the revision that it replaces`() {
        val finished = execute("publish", "--log-url", "http://127.0.0.1:1")
        expectThat(finished.code).isEqualTo(ExitCode.USAGE)
        expectThat(finished.err).contains("--replaces: found no value, expected the revision")
    }

    @Test
    fun `help names every command and version is the one of the build`() {
        val help = execute("help")
        listOf("run", "check", "publish", "show", "revisions", "settings", "hash-secret", "version")
            .forEach { expectThat(help.out).contains("  $it ") }
        expectThat(execute("version").out).contains(Regex("wisteriahinge [0-9]+\\.[0-9]+"))
    }
}
