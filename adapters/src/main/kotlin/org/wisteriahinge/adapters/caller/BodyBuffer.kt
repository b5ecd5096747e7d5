package org.wisteriahinge.adapters.caller

import io.netty.buffer.ByteBuf

private const val INITIAL_BYTES = 4 * 1_024

/**
 * Collects a body. Its memory grows with the bytes that arrive, not with [lengthBytes], which
 * the caller declares; null if the length is not known.
 */
internal class BodyBuffer(private val lengthBytes: Int?) {
    private var bytes = ByteArray(0)

    /** Number of bytes received. */
    var size = 0
        private set

    /** Bytes of memory that the buffer needs in addition before it can take [count] bytes. */
    fun growthFor(count: Int): Int = capacityFor(size + count) - bytes.size

    private fun capacityFor(needed: Int): Int = if (needed <= bytes.size) {
        bytes.size
    } else {
        val doubled = maxOf(needed, bytes.size * 2, INITIAL_BYTES)
        if (lengthBytes == null) doubled else maxOf(needed, minOf(doubled, lengthBytes))
    }

    fun append(content: ByteBuf) {
        val count = content.readableBytes()
        val capacity = capacityFor(size + count)
        if (capacity > bytes.size) bytes = bytes.copyOf(capacity)
        content.readBytes(bytes, size, count)
        size += count
    }

    /** The whole body; nothing may be appended afterwards. */
    fun toByteArray(): ByteArray = if (size == bytes.size) bytes else bytes.copyOf(size)
}
