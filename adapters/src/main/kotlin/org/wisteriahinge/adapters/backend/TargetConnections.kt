package org.wisteriahinge.adapters.backend

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelOption
import io.netty.channel.pool.AbstractChannelPoolHandler
import io.netty.channel.pool.AbstractChannelPoolMap
import io.netty.channel.pool.FixedChannelPool
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpClientCodec
import java.io.Closeable
import java.net.InetSocketAddress
import java.time.Duration
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.model.Address

private const val CODEC = "codec"
private const val HANDLER = "handler"

/** No deadline of a waiting exchange is checked here; the exchange itself expires. */
private const val NO_ACQUIRE_TIMEOUT_MILLIS = -1L

/** Part of the time announced in `Keep-Alive` for which an idle connection is used again. */
private const val KEEP_ALIVE_REUSE_FRACTION = 0.5

/**
 * Bounds of the connections to each target.
 *
 * A connection that was idle longer than [maxIdle] is not used again, and not for a request that
 * may run once after [maxIdleForNonRepeatable].
 */
public data class ConnectionLimits(
    val perTarget: Int,
    val waitingPerTarget: Int = 256,
    val connectTimeout: Duration = Duration.ofSeconds(1),
    val maxIdle: Duration = Duration.ofSeconds(4),
    val maxIdleForNonRepeatable: Duration = Duration.ofMillis(500)
)

/**
 * The connections to all targets: at most [ConnectionLimits.perTarget] each, most recently used
 * first, so that surplus connections become idle and are closed by the target.
 */
internal class TargetConnections(private val loop: IoLoop, private val limits: ConnectionLimits) :
    Closeable {
    private val pools = object : AbstractChannelPoolMap<Address, FixedChannelPool>() {
        override fun newPool(key: Address) = createPool(key)
    }

    /** Writes the head of [exchange] to a connection, as soon as there is one. */
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
                !exchange.tryAttach(channel) -> pool.release(channel)
                else -> RequestWriter(exchange).write(channel)
            }
        }
    }

    /** A target that forgot one idle connection has forgotten those that were idle for longer. */
    private fun resendOnNewConnection(exchange: TargetExchange) {
        exchange.awaitNewConnection()
        send(exchange, allowReused = false)
    }

    private fun Channel.isReused(): Boolean = targetHandler()?.isReused != false

    /** Whether the target may have closed the connection already. */
    private fun Channel.isStale(): Boolean {
        val handler = targetHandler() ?: return true
        val limit = handler.keepAlive?.let {
            Duration.ofNanos((it.toNanos() * KEEP_ALIVE_REUSE_FRACTION).toLong())
        }
        return handler.idleTime() > (limit ?: limits.maxIdle)
    }

    /** A request that may run once is lost with a connection that the target has forgotten. */
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
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeout.toMillis().toInt())
        .remoteAddress(InetSocketAddress(address.host, address.port))

    private inner class PoolHandler(private val address: Address) : AbstractChannelPoolHandler() {
        override fun channelCreated(channel: Channel) {
            channel.pipeline().addLast(CODEC, HttpClientCodec())
            channel.pipeline().addLast(
                HANDLER,
                TargetConnectionHandler({ pools.get(address).release(it) }, ::resendOnNewConnection)
            )
        }
    }

    override fun close() {
        pools.close()
    }
}

/** The handler that reads the answers on this connection; null when the connection is closed. */
internal fun Channel.targetHandler(): TargetConnectionHandler? =
    pipeline().get(HANDLER) as TargetConnectionHandler?
