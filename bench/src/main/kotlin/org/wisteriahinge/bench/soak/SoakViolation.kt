package org.wisteriahinge.bench.soak

import java.time.Duration

/** A promise that was broken, with what shows it. */
internal data class SoakViolation(val promise: String, val at: Duration, val detail: String)
