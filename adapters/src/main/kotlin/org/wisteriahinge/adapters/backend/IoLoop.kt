package org.wisteriahinge.adapters.backend

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.util.concurrent.DefaultThreadFactory
import java.io.Closeable
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit

/**
 * The single I/O thread that serves all connections of an instance.
 *
 * All state of connections is confined to this thread and needs no locks.
 */
public class IoLoop : Closeable {
    internal val group = MultiThreadIoEventLoopGroup(
        1,
        DefaultThreadFactory("io", true),
        NioIoHandler.newFactory()
    )

    internal val executor: EventLoop = group.next()

    /** Runs [task] on the I/O thread, directly if called on it; false if the thread has ended. */
    internal fun run(task: () -> Unit): Boolean {
        if (executor.inEventLoop()) {
            task()
            return true
        }
        return try {
            executor.execute(task)
            true
        } catch (_: RejectedExecutionException) {
            false
        }
    }

    override fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }
}
