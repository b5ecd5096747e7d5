package org.wisteriahinge.core.routing

import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.Target

/** What this instance knows of a target. [inFlight] counts only its own requests. */
public data class TargetView(
    val service: ServiceId,
    val target: Target,
    val inFlight: Int = 0,
    val load: LoadReport? = null
)
