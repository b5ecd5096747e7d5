package org.wisteriahinge.core.quarantine

import org.wisteriahinge.core.model.Target

/** A server whose answer to a request for [path] shows that the network works. */
public data class Witness(val target: Target, val path: String)
