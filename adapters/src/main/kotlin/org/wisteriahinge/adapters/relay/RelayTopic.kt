package org.wisteriahinge.adapters.relay

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.time.Clock
import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.SerializationException
import org.wisteriahinge.adapters.backend.AttemptFailedException
import org.wisteriahinge.adapters.backend.BackendClient
import org.wisteriahinge.adapters.backend.BackendRequest
import org.wisteriahinge.adapters.backend.RequestBody
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.watch.TopicPosition
import org.wisteriahinge.runtime.KeyedTopic
import org.wisteriahinge.runtime.TopicFailure
import org.wisteriahinge.runtime.TopicRecords

private const val OK = 200
private const val GONE = 410

/** Reads [topic] from the [RelayServer] of the instance at [address]. */
public class RelayTopic(
    private val topic: String,
    private val address: Address,
    private val client: BackendClient,
    private val clock: Clock
) : KeyedTopic {
    override fun newest(timeout: Duration): Result<TopicRecords, TopicFailure> =
        get(newestPath(topic), timeout)

    override fun changes(
        from: TopicPosition,
        waitUpTo: Duration,
        timeout: Duration
    ): Result<TopicRecords, TopicFailure> {
        val query = "from=${from.offset}&era=${from.era}&wait_ms=${waitUpTo.toMillis()}"
        return get("${changesPath(topic)}?$query", timeout)
    }

    private fun get(path: String, timeout: Duration): Result<TopicRecords, TopicFailure> = try {
        val request = BackendRequest(
            method = "GET",
            pathAndQuery = path,
            headers = persistentListOf(),
            body = RequestBody.None,
            remaining = timeout
        )
        val sentAt = clock.instant()
        val answer = client.fetch(address, request)
        when (answer.head.status) {
            OK -> Ok(decodePage(answer.body).requestedAt(sentAt))
            GONE -> Err(TopicFailure.Expired("relay $address"))
            else -> Err(TopicFailure.Unavailable("relay $address answered ${answer.head.status}"))
        }
    } catch (e: AttemptFailedException) {
        Err(TopicFailure.Unavailable("relay $address: ${e.message}"))
    } catch (e: SerializationException) {
        Err(TopicFailure.Unavailable("relay $address: ${e.message}"))
    }
}

/** The request arrived after [sentAt], so that the records are at least as current as this. */
private fun RelayedPage.requestedAt(sentAt: Instant): TopicRecords =
    TopicRecords(records.toPersistentList(), next, ageMillis?.let { sentAt.minusMillis(it) })
