package org.wisteriahinge.adapters.backend

import io.netty.bootstrap.Bootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelOption
import io.netty.channel.RecvByteBufAllocator
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.pool.AbstractChannelPoolHandler
import io.netty.channel.pool.AbstractChannelPoolMap
import io.netty.channel.pool.FixedChannelPool
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import java.io.Closeable
import java.net.InetSocketAddress
import java.time.Duration
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.model.Address

private const val HANDLER = "handler"

/**
 * Most bytes that are read from one connection before the others have their turn. Many long answers
 * would otherwise delay each short one on the same I/O thread.
 */
private const val MAX_BYTES_PER_TURN = 32 * 1_024
private const val MIN_READ_BYTES = 64
private const val FIRST_READ_BYTES = 2_048

/** The pool applies no timeout, because each exchange has its own timer. */
private const val NO_ACQUIRE_TIMEOUT_MILLIS = -1L

/** Fraction of the announced `Keep-Alive` timeout for which an idle connection is reused. */
private const val KEEP_ALIVE_REUSE_FRACTION = 0.5

/**
 * Limits for the connections to each target.
 *
 * At most [perTarget] connections are open and [waitingPerTarget] requests wait for one. A
 * connection that was idle for longer than [maxIdle] is not reused; if the target announced a
 * `Keep-Alive` timeout, a fraction of that applies instead. For requests that must not run twice,
 * it is not reused after [maxIdleForNonRepeatable].
 */
public data class ConnectionLimits(
    val perTarget: Int,
    val waitingPerTarget: Int = 256,
    val connectTimeout: Duration = Duration.ofSeconds(1),
    val maxIdle: Duration = Duration.ofSeconds(4),
    val maxIdleForNonRepeatable: Duration = Duration.ofMillis(500)
)

/**
 * A connection pool for each target, with at most [ConnectionLimits.perTarget] connections.
 *
 * The most recently used connection is acquired first, so that surplus connections stay idle until
 * the target closes them.
 */
internal class TargetConnections(private val loop: IoLoop, private val limits: ConnectionLimits) :
    Closeable {
    private val opened = DefaultChannelGroup(loop.executor)
    private val pools = object : AbstractChannelPoolMap<Address, FixedChannelPool>() {
        override fun newPool(key: Address) = createPool(key)
    }

    /** Writes the request of [exchange] to a connection as soon as one is available. */
    fun send(exchange: TargetExchange) = send(exchange, allowReused = true)

    private fun send(exchange: TargetExchange, allowReused: Boolean) {
        val pool = pools.get(exchange.address)
        pool.acquire().addListener { acquired ->
            val channel = acquired.now as Channel?
            when {
                channel == null -> exchange.failToConnect(acquired.cause())
                !allowReused && channel.isReused() || channel.isTooOldFor(exchange.request) -> {
                    channel.close()
                    pool.release(channel)
                    send(exchange, allowReused)
                }
                exchange.isTooLateToSend -> {
                    pool.release(channel)
                    exchange.failed(AttemptFailure.NotSent, "no connection in time")
                }
                !exchange.tryAttach(channel) -> pool.release(channel)
                else -> RequestWriter(exchange).write(channel)
            }
        }
    }

    /** Uses a new connection: after one idle connection was closed, older ones probably are too. */
    private fun resendOnNewConnection(exchange: TargetExchange) {
        exchange.awaitNewConnection()
        send(exchange, allowReused = false)
    }

    private fun Channel.isReused(): Boolean = targetHandler()?.isReused != false

    /** Whether the connection was idle for so long that the target may have closed it. */
    private fun Channel.isStale(): Boolean {
        val handler = targetHandler() ?: return true
        val limit = handler.keepAlive?.let {
            Duration.ofNanos((it.toNanos() * KEEP_ALIVE_REUSE_FRACTION).toLong())
        }
        return handler.idleTime() > (limit ?: limits.maxIdle)
    }

    /**
     * Whether [request] must not be sent on this connection: if the target has closed it, a request
     * that is not repeatable fails without a retry.
     */
    private fun Channel.isTooOldFor(request: BackendRequest): Boolean {
        val handler = targetHandler() ?: return true
        return !request.isRepeatable && handler.idleTime() > limits.maxIdleForNonRepeatable
    }

    private fun TargetExchange.failToConnect(cause: Throwable) {
        val detail = cause.message ?: cause.javaClass.simpleName
        if (cause is IllegalStateException) {
            failed(AttemptFailure.NotSent, detail)
        } else {
            failed(AttemptFailure.ConnectFailed, detail)
        }
    }

    private fun createPool(address: Address): FixedChannelPool = FixedChannelPool(
        bootstrap(address),
        PoolHandler(address),
        { it.eventLoop().newSucceededFuture(it.isActive && !it.isStale()) },
        null,
        NO_ACQUIRE_TIMEOUT_MILLIS,
        limits.perTarget,
        limits.waitingPerTarget,
        true,
        true
    )

    private fun bootstrap(address: Address): Bootstrap = Bootstrap()
        .group(loop.group)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.TCP_NODELAY, true)
        // Without this, an orderly end of the target's side looks like any other close.
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .option(ChannelOption.RECVBUF_ALLOCATOR, oneReadPerTurn())
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeout.toMillis().toInt())
        .remoteAddress(InetSocketAddress(address.host, address.port))

    private fun oneReadPerTurn(): RecvByteBufAllocator =
        AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_BYTES_PER_TURN)
            .maxMessagesPerRead(1)

    private inner class PoolHandler(private val address: Address) : AbstractChannelPoolHandler() {
        override fun channelCreated(channel: Channel) {
            val handler = TargetConnectionHandler(
                { pools.get(address).release(it) },
                ::resendOnNewConnection
            )
            opened.add(channel)
            channel.pipeline().addLast(HttpRequestEncoder(), AnswerDecoder(handler))
            channel.pipeline().addLast(HANDLER, handler)
        }
    }

    /**
     * Closes also the connections that are in use, so that each exchange has an outcome: an I/O
     * thread that ends may leave them open without a word.
     */
    override fun close() {
        opened.close()
        pools.close()
    }
}

/** The handler that reads the answers on this connection; null if the connection is closed. */
internal fun Channel.targetHandler(): TargetConnectionHandler? =
    pipeline().get(HANDLER) as TargetConnectionHandler?
