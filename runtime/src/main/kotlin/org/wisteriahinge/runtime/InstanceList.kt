package org.wisteriahinge.runtime

import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.core.membership.ListedInstance

/** Why the instance list could not be read. */
public class InstanceListFailure(detail: String) {
    public val message: String =
        "instance list is unavailable ($detail); known peers are kept, check the instance list URL"
}

/** The platform's list of instances, which may be out of date. Calls block. */
public interface InstanceList {
    public fun read(): Result<PersistentList<ListedInstance>, InstanceListFailure>
}
