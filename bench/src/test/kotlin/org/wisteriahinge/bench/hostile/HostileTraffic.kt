package org.wisteriahinge.bench.hostile

private const val BODY_BYTES = 1_000_000
private const val MISSING_BYTES = 10
private const val SMALL_PIECE_BYTES = 500
private const val OVERSIZED_BODY_BYTES = 1_000_000_000
private const val SHORT_FIELDS = 3_900
private const val CHUNKS_PER_PIECE = 2_000
private const val EXTENSION_BYTES = 8_000
private const val PIPELINED_REQUESTS = 2_000
private const val PIPELINED_PIECES = 50

/** Which clients of a crowd send their requests completely. */
private const val COMPLETE_EVERY = 3

/**
 * What the clients of a crowd send, each on a connection of its own that stays open. They read no
 * answers. Each sends its pieces as fast as they are taken, or one in each [pauseMillis].
 */
internal enum class HostileTraffic(val clients: Int, val pauseMillis: Long = 0) {
    BODIES_IN_ONE_PIECE(90) {
        override fun pieces(method: String, path: String, client: Int) =
            sequenceOf(bodyHead(path) + "x".repeat(BODY_BYTES - missing(client)))
    },
    BODIES_IN_SMALL_PIECES(90) {
        override fun pieces(method: String, path: String, client: Int) =
            sequenceOf(bodyHead(path)) +
                generateSequence { "x".repeat(SMALL_PIECE_BYTES) }
                    .take((BODY_BYTES - missing(client)) / SMALL_PIECE_BYTES)
    },
    BODIES_IN_CHUNKS(60) {
        override fun pieces(method: String, path: String, client: Int) =
            sequenceOf(chunkedHead(path)) +
                generateSequence { "1\r\nx\r\n".repeat(CHUNKS_PER_PIECE) }
                    .take(BODY_BYTES / CHUNKS_PER_PIECE)
    },
    CHUNK_EXTENSIONS(60) {
        override fun pieces(method: String, path: String, client: Int) =
            sequenceOf(chunkedHead(path)) +
                generateSequence { "1;" + "e".repeat(EXTENSION_BYTES) + "\r\nx\r\n" }.take(500)
    },
    BODIES_OVER_THE_LIMIT(60) {
        override fun pieces(method: String, path: String, client: Int): Sequence<String> {
            val head = if (client % 2 ==
                0
            ) {
                chunkedHead(path)
            } else {
                bodyHead(path, OVERSIZED_BODY_BYTES)
            }
            return sequenceOf(head) + generateSequence { "10000\r\n" + "x".repeat(65_536) + "\r\n" }
                .take(64)
        }
    },
    MANY_SHORT_FIELDS(400) {
        override fun pieces(method: String, path: String, client: Int): Sequence<String> {
            val end = if (client % COMPLETE_EVERY == 0) "\r\n" else ""
            return sequenceOf(head(method, path) + "a:\r\n".repeat(SHORT_FIELDS) + end)
        }
    },
    REQUESTS_SENT_AHEAD(60) {
        override fun pieces(method: String, path: String, client: Int) = generateSequence {
            "$method $path HTTP/1.1\r\nHost: a\r\n\r\n".repeat(PIPELINED_REQUESTS)
        }
            .take(PIPELINED_PIECES)
    },
    SLOW_SENDERS(700, pauseMillis = 100) {
        override fun pieces(method: String, path: String, client: Int) =
            head(method, path).chunked(1).asSequence()
    },
    SLOW_READERS(300) {
        override fun pieces(method: String, path: String, client: Int) =
            sequenceOf(head(method, path) + "\r\n")
    },
    HALF_OPEN(700) {
        override fun pieces(method: String, path: String, client: Int) = emptySequence<String>()
    };

    /** The pieces that the client with the number [client] sends to [path]. */
    abstract fun pieces(method: String, path: String, client: Int): Sequence<String>
}

private fun missing(client: Int): Int = if (client % COMPLETE_EVERY == 0) 0 else MISSING_BYTES

private fun head(method: String, path: String): String =
    "$method $path HTTP/1.1\r\nHost: 127.0.0.1\r\nWisteriahinge-Request-Id: r\r\n" +
        "Wisteriahinge-Deadline-Ms: 60000\r\n"

private fun bodyHead(path: String, bytes: Int = BODY_BYTES): String =
    head("POST", path) + "Content-Length: $bytes\r\n\r\n"

private fun chunkedHead(path: String): String =
    head("POST", path) + "Transfer-Encoding: chunked\r\n\r\n"
