package org.wisteriahinge.bench.start

import java.io.File
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.model.Address

private val RUN_LINE = Regex("""^run = "(.*)"$""", RegexOption.MULTILINE)
private val PLACEHOLDER = Regex("""\{\{[^}]*}}""")

/** The addresses of one instance and of the store that it reads. */
internal data class StartAddresses(val callers: Address, val ready: Address, val store: Address)

/** The program of a built checkout at [root], started with the command of its deploy file. */
internal class DeployedProgram(private val root: File) {
    private val command: String = readCommand()

    private fun readCommand(): String {
        val file = File(root, "deploy/system.toml")
        require(file.isFile) { "$file is missing; name a checkout of this project with --root" }
        return requireNotNull(RUN_LINE.find(file.readText())?.groupValues?.get(1)) {
            "$file has no line 'run = \"...\"'; expected the command of the role 'front'"
        }
    }

    /** Starts the program on one core, as on the machines that it is deployed to. */
    fun launch(addresses: StartAddresses, log: File): Process {
        val words = listOf("taskset", "-c", "0") + command.split(' ').map { fill(it, addresses) }
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

/** Processor time of a process in milliseconds, by group of threads. */
internal data class ThreadTimes(
    val totalMillis: Double,
    val compilerMillis: Double,
    val mainMillis: Double,
    val ioMillis: Double,
    val dutiesMillis: Double
) {
    operator fun minus(earlier: ThreadTimes) = ThreadTimes(
        totalMillis - earlier.totalMillis,
        compilerMillis - earlier.compilerMillis,
        mainMillis - earlier.mainMillis,
        ioMillis - earlier.ioMillis,
        dutiesMillis - earlier.dutiesMillis
    )

    companion object {
        private const val MILLIS_PER_TICK = 10.0
        private const val NANOS_PER_MILLI = 1_000_000.0

        // Fields of /proc/PID/stat behind the program's name, counted from 0.
        private const val USER_TICKS = 11
        private const val KERNEL_TICKS = 12

        /** Reads the times of process [pid]; threads that have ended count in the total only. */
        fun of(pid: Long): ThreadTimes {
            val threads = File("/proc/$pid/task").listFiles().orEmpty().toPersistentList()
            return ThreadTimes(
                totalMillis = processMillis(pid),
                compilerMillis = threads.millisOf { it.startsWith("C1 ") || it.startsWith("C2 ") },
                mainMillis = threads.millisOf { it == "java" },
                ioMillis = threads.millisOf { it.startsWith("io-") },
                dutiesMillis = threads.millisOf { it.startsWith("duty-") }
            )
        }

        private fun processMillis(pid: Long): Double {
            val fields = File("/proc/$pid/stat").readText().substringAfterLast(") ").split(' ')
            return (fields[USER_TICKS].toLong() + fields[KERNEL_TICKS].toLong()) * MILLIS_PER_TICK
        }

        private fun PersistentList<File>.millisOf(group: (String) -> Boolean): Double =
            filter { group(File(it, "comm").readText().trim()) }
                .sumOf { File(it, "schedstat").readText().substringBefore(' ').toLong() }
                .div(NANOS_PER_MILLI)
    }
}
