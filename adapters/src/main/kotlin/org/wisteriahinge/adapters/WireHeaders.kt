package org.wisteriahinge.adapters

/** Header names of [WireDialect.Default]. */
public object WireHeaders {
    public const val IDEMPOTENCY_KEY: String = "Idempotency-Key"
    public const val TIMEOUT_MILLIS: String = "Wisteriahinge-Timeout-Ms"
    public const val DEPTH: String = "Wisteriahinge-Depth"
    public const val ATTEMPT: String = "Wisteriahinge-Attempt"
    public const val NO_RETRY: String = "Wisteriahinge-No-Retry"
    public const val LOAD: String = "Wisteriahinge-Load"
    public const val NOT_RUN: String = "Wisteriahinge-Not-Run"
}
