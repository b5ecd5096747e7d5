package org.wisteriahinge.bench.start

import java.io.File
import org.wisteriahinge.core.model.Address

private val RUN_LINE = Regex("""^run = "(.*)"$""", RegexOption.MULTILINE)
private val PLACEHOLDER = Regex("""\{\{[^}]*}}""")

/** The addresses of one instance and of the store that it reads. */
internal data class StartAddresses(val callers: Address, val ready: Address, val store: Address)

/** The program of a built checkout at [root], started with the command of its deploy file. */
internal class DeployedProgram(private val root: File) {
    private val template: String = readTemplate()

    private fun readTemplate(): String {
        val file = File(root, "deploy/system.toml")
        require(file.isFile) { "$file is missing; name a checkout of this project with --root" }
        return requireNotNull(RUN_LINE.find(file.readText())?.groupValues?.get(1)) {
            "$file has no line 'run = \"...\"'; expected the command of the role 'front'"
        }
    }

    /** The words of the command that starts an instance with [addresses]. */
    fun command(addresses: StartAddresses): List<String> =
        template.split(' ').map { fill(it, addresses) }

    /** Starts the program on one core, as on the machines that it is deployed to. */
    fun launch(addresses: StartAddresses, log: File): Process {
        val words = listOf("taskset", "-c", "0") + command(addresses)
        return ProcessBuilder(words)
            .directory(root)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start()
    }

    private fun fill(word: String, addresses: StartAddresses): String =
        PLACEHOLDER.replace(word) { found ->
            when (val name = found.value.removeSurrounding("{{", "}}")) {
                "zone" -> "a"
                "node" -> "start-cost"
                "listen.front" -> addresses.callers.toString()
                "listen.ready" -> addresses.ready.toString()
                "platform.address" -> addresses.store.toString()
                else -> error(
                    "no value for the placeholder '$name' of the deploy file; add it here"
                )
            }
        }
}
