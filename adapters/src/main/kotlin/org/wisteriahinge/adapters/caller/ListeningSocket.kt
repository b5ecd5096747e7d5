package org.wisteriahinge.adapters.caller

import java.io.Closeable
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.ServerSocketChannel

/** Connections that may wait to be accepted. */
private const val ACCEPT_BACKLOG = 1_024

/**
 * A socket on which callers' connections wait until a [CallerServer] accepts them.
 *
 * An instance opens it before all else, because callers that find no socket give up, and those
 * whose connection waits for the rest of the start are served.
 */
public class ListeningSocket private constructor(internal val channel: ServerSocketChannel) :
    Closeable {
    /** The port in use. */
    public val port: Int get() = (channel.localAddress as InetSocketAddress).port

    override fun close() {
        channel.close()
    }

    public companion object {
        /**
         * Listens on [host] and [port]; port 0 takes any free one.
         *
         * @throws java.io.IOException if the address is in use or not this machine's.
         */
        public fun open(host: String, port: Int): ListeningSocket {
            val channel = ServerSocketChannel.open()
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true)
            channel.configureBlocking(false)
            channel.bind(InetSocketAddress(host, port), ACCEPT_BACKLOG)
            return ListeningSocket(channel)
        }
    }
}
