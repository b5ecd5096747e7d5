package org.wisteriahinge.adapters.backend

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.util.concurrent.DefaultThreadFactory
import java.io.Closeable
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit

/**
 * The one thread that serves all connections of an instance.
 *
 * Whatever concerns a call's connections happens on it, so that they share state without locks.
 */
public class IoLoop : Closeable {
    internal val group = MultiThreadIoEventLoopGroup(
        1,
        DefaultThreadFactory("io", true),
        NioIoHandler.newFactory()
    )

    internal val executor: EventLoop = group.next()

    /** Runs [task] on the thread, at once when this is the thread; false when it has ended. */
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
