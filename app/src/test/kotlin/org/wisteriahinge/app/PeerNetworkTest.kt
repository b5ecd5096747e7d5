package org.wisteriahinge.app

import com.github.michaelbull.result.get
import io.ktor.server.application.call
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.net.Socket
import java.time.Clock
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.wisteriahinge.adapters.peer.PeerCodec
import org.wisteriahinge.core.membership.Members
import org.wisteriahinge.core.membership.MembershipEvent
import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.core.membership.PeerPhase
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.Zone
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

/** Guards against peers that miss each other, a slow drain and accepted forgeries. */
class PeerNetworkTest {
    private class Recorder : PeerListener {
        val members = LinkedBlockingQueue<Members>()
        val messages = LinkedBlockingQueue<PeerMessage>()

        override fun membersChanged(members: Members) {
            this.members.add(members)
        }

        override fun received(message: PeerMessage) {
            messages.add(message)
        }
    }

    private val listJson = AtomicReference("[]")
    private val listServer = embeddedServer(Netty, port = 0, host = "127.0.0.1") {
        routing { get("/instances") { call.respondText(listJson.get()) } }
    }.start()
    private val listPort = runBlocking { listServer.engine.resolvedConnectors().first().port }
    private val recorderA = Recorder()
    private val recorderB = Recorder()
    private val networkA = network("a", recorderA)
    private val networkB = network("b", recorderB)

    private fun network(name: String, recorder: Recorder) = PeerNetwork(
        PeerSettings(name, Zone("z"), "127.0.0.1", 0, "http://127.0.0.1:$listPort", "key"),
        PrometheusRegistry(),
        recorder,
        Clock.systemUTC()
    )

    @AfterEach
    fun stop() {
        networkA.close()
        networkB.close()
        listServer.stop(0, 0)
    }

    private fun list(portA: Int) {
        listJson.set("""[{"id":"a","address":"127.0.0.1:$portA","zone":"z","state":"live"}]""")
    }

    private fun awaitMember(recorder: Recorder, id: InstanceId): Members? =
        generateSequence { recorder.members.poll(30, TimeUnit.SECONDS) }
            .firstOrNull { id in it.live }

    @Test
    fun `two instances find each other although the list shows only one of them`() {
        list(networkA.start())
        networkB.start()
        expectThat(awaitMember(recorderA, networkB.id)).isNotNull()
        expectThat(awaitMember(recorderB, networkA.id)).isNotNull()
        val asked = PeerMessage.OutcomeRequest(networkB.id, "key")
        networkB.link.send(networkA.id, asked)
        val received = generateSequence { recorderA.messages.poll(30, TimeUnit.SECONDS) }
            .firstOrNull { it is PeerMessage.OutcomeRequest }
        expectThat(received).isEqualTo(asked)
    }

    @Test
    fun `a peer that drains is announced without waiting for missed heartbeats`() {
        list(networkA.start())
        networkB.start()
        awaitMember(recorderA, networkB.id)
        networkB.report(MembershipEvent.PhaseChanged(PeerPhase.Draining))
        val left = generateSequence { recorderA.members.poll(30, TimeUnit.SECONDS) }
            .firstOrNull { networkB.id !in it.live }
        expectThat(left).isNotNull()
    }

    @Test
    fun `a forged or malformed message is dropped and the server goes on`() {
        val portA = networkA.start()
        val request = PeerMessage.OutcomeRequest(InstanceId("x#1"), "key")
        send(portA, checkNotNull(PeerCodec("wrong".encodeToByteArray()).encode(request).get()))
        send(portA, byteArrayOf(1, 2, 3))
        send(portA, checkNotNull(PeerCodec("key".encodeToByteArray()).encode(request).get()))
        expectThat(recorderA.messages.poll(30, TimeUnit.SECONDS)).isEqualTo(request)
    }

    private fun send(port: Int, bytes: ByteArray) {
        Socket("127.0.0.1", port).use { socket ->
            val length = java.nio.ByteBuffer.allocate(Int.SIZE_BYTES).putInt(bytes.size).array()
            socket.getOutputStream().write(length + bytes)
            socket.getOutputStream().flush()
        }
    }
}
