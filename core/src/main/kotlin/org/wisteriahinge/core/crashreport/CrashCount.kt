package org.wisteriahinge.core.crashreport

import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.RequestDigest

/** The count that one instance holds of the crashes of one request. */
public data class CrashCountKey(val digest: RequestDigest, val instance: InstanceId)

/** How many [crashes] of servers an instance has counted; 0 clears its count before. */
public data class CrashCount(val key: CrashCountKey, val crashes: Int)
