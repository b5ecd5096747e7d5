package org.wisteriahinge.adapters.instances

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpStatusCode
import java.io.Closeable
import java.io.IOException
import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.wisteriahinge.core.membership.ListedInstance
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.runtime.InstanceList
import org.wisteriahinge.runtime.InstanceListFailure

/** JSON form of an entry of the platform's list. [address] is `host:port` for peer messages. */
@Serializable
public data class WireInstance(
    val id: String,
    val address: String,
    val zone: String,
    val state: WireInstanceState
)

/** State of an entry; `leaving` means that the platform is about to stop the instance. */
@Serializable
public enum class WireInstanceState {
    @SerialName("live")
    Live,

    @SerialName("leaving")
    Leaving
}

/** Client of the platform's instance list over HTTP, as section 9 of the design page specifies. */
public class HttpInstanceList(private val baseUrl: String, timeout: Duration) :
    InstanceList,
    Closeable {
    private val client = HttpClient(CIO) {
        expectSuccess = false
        install(HttpTimeout) { requestTimeoutMillis = timeout.toMillis() }
    }

    override fun read(): Result<PersistentList<ListedInstance>, InstanceListFailure> = runBlocking {
        try {
            val answer = client.get("$baseUrl/instances")
            if (answer.status == HttpStatusCode.OK) {
                Ok(parse(answer.bodyAsText()))
            } else {
                Err(InstanceListFailure("$baseUrl/instances answered ${answer.status.value}"))
            }
        } catch (e: IOException) {
            Err(InstanceListFailure(e.message ?: e.javaClass.simpleName))
        } catch (e: SerializationException) {
            Err(InstanceListFailure(e.message ?: "the answer is not an instance list"))
        } catch (e: IllegalArgumentException) {
            Err(InstanceListFailure(e.message ?: "the answer is not an instance list"))
        }
    }

    private fun parse(text: String): PersistentList<ListedInstance> =
        Json.decodeFromString<List<WireInstance>>(text).map { it.toListed() }.toPersistentList()

    override fun close() {
        client.close()
    }
}

private fun WireInstance.toListed(): ListedInstance {
    val port = requireNotNull(address.substringAfterLast(':').toIntOrNull()) {
        "instance '$id' has address '$address'; expected host:port"
    }
    return ListedInstance(
        name = id,
        address = Address(address.substringBeforeLast(':'), port),
        zone = Zone(zone),
        leaving = when (state) {
            WireInstanceState.Live -> false
            WireInstanceState.Leaving -> true
        }
    )
}
