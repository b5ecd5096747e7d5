package org.wisteriahinge.bench.demo

import java.time.Duration

private const val POLL_MILLIS = 50L

/** Prints each outcome with its figures and remembers whether all were right. */
internal class DemoReport {
    private var failures = 0

    val allRight: Boolean get() = failures == 0

    fun expect(what: String, isRight: Boolean, figures: String) {
        if (!isRight) failures++
        println("${if (isRight) "ok  " else "FAIL"} $what: $figures")
    }
}

/** Waits until [condition] holds, at most for [limit]; the time it took, or null. */
internal fun awaitWithin(limit: Duration, condition: () -> Boolean): Duration? {
    val start = System.nanoTime()
    while (System.nanoTime() - start < limit.toNanos()) {
        if (condition()) return Duration.ofNanos(System.nanoTime() - start)
        Thread.sleep(POLL_MILLIS)
    }
    return null
}
