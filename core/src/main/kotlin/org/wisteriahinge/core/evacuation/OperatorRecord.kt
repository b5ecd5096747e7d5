package org.wisteriahinge.core.evacuation

import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.Zone

/** What the operator wrote in a record. */
public sealed interface OperatorRecord {
    /** A new [configuration]. */
    public data class Configured(val configuration: Configuration) : OperatorRecord

    /** The targets of [zone] get nothing more until it [ZoneRestored]. */
    public data class ZoneEvacuated(val zone: Zone) : OperatorRecord

    /** The targets of [zone] are used again. */
    public data class ZoneRestored(val zone: Zone) : OperatorRecord
}
