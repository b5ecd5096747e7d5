package org.wisteriahinge.bench.soak

import java.time.Duration

/** A violated guarantee, named by [promise], with the evidence in [detail]. */
internal data class SoakViolation(val promise: String, val at: Duration, val detail: String)
