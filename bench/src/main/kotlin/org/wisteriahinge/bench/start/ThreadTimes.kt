package org.wisteriahinge.bench.start

import java.io.File
import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

private const val MILLIS_PER_TICK = 10.0
private const val MILLIS_PER_SECOND = 1_000.0
private const val NANOS_PER_MILLI = 1_000_000.0

// Fields of /proc/PID/stat behind the program's name, counted from 0.
private const val USER_TICKS = 11
private const val KERNEL_TICKS = 12

/** Processor time of a process in milliseconds, by group of threads. */
internal data class ThreadTimes(
    val totalMillis: Double,
    val mainMillis: Double,
    val ioMillis: Double,
    val dutiesMillis: Double
) {
    /** Time of all other threads, most of it the compiler's; they may have ended since. */
    val vmMillis: Double get() = totalMillis - mainMillis - ioMillis - dutiesMillis

    operator fun minus(earlier: ThreadTimes) = ThreadTimes(
        totalMillis - earlier.totalMillis,
        mainMillis - earlier.mainMillis,
        ioMillis - earlier.ioMillis,
        dutiesMillis - earlier.dutiesMillis
    )

    /** These times, spent in [period], for each second of it. */
    fun perSecond(period: Duration): ThreadTimes {
        val seconds = period.toMillis() / MILLIS_PER_SECOND
        return ThreadTimes(
            totalMillis / seconds,
            mainMillis / seconds,
            ioMillis / seconds,
            dutiesMillis / seconds
        )
    }

    companion object {
        /** Reads the times of process [pid] so far. */
        fun of(pid: Long): ThreadTimes {
            val threads = File("/proc/$pid/task").listFiles().orEmpty().toPersistentList()
            return ThreadTimes(
                totalMillis = processMillis(pid),
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
