package org.wisteriahinge.adapters.caller

import java.io.Closeable
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.ServerSocketChannel

/** Length of the queue of connections that wait to be accepted. */
private const val ACCEPT_BACKLOG = 1_024

/**
 * A listening socket that a [CallerServer] accepts connections from later.
 *
 * An instance opens it as the first step of its start: connections that arrive meanwhile are queued
 * and served afterwards, whereas callers whose connection is refused give up.
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
         * Listens on [host] and [port]; port 0 selects any free port.
         *
         * @throws java.io.IOException if the address is in use or does not belong to this machine.
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
