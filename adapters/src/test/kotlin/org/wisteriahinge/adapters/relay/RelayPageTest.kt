package org.wisteriahinge.adapters.relay

import java.util.HexFormat
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.watch.TopicPosition
import org.wisteriahinge.runtime.KeyedRecord
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Pages that relays of version a5cb9d4 sent; the second is of era 2. */
private const val PAGE =
    "bf677265636f7264739fbf636b657966636f6e666967666f6666736574036576616c7565427631ff" +
        "bf636b657964676f6e65666f6666736574046576616c7565f6ffff6a6e6578744f666673657405ff"
private const val PAGE_OF_ERA =
    "bf677265636f7264739fbf636b657966636f6e666967666f6666736574036576616c7565427631ff" +
        "bf636b657964676f6e65666f6666736574046576616c7565f6ffff6a6e6578744f66667365740563" +
        "65726102ff"

/** Guards against instances of two versions that cannot read each other's pages in an upgrade. */
@OptIn(ExperimentalSerializationApi::class)
class RelayPageTest {
    /** The fields that version a5cb9d4 reads. */
    @Serializable
    private class PageBeforeAges(
        val records: List<WireTopicRecord>,
        val nextOffset: Long,
        val era: Long = 0
    )

    private val record =
        KeyedRecord("config", TopicPosition(2, 3), "v1".encodeToByteArray())

    private fun decodeHex(page: String) = decodePage(HexFormat.of().parseHex(page))

    @Test
    fun `a page of the version before ages is read, and its age is not known`() {
        val page = decodeHex(PAGE)
        expectThat(page.records.map { it.key to it.value?.decodeToString() })
            .containsExactly("config" to "v1", "gone" to null)
        expectThat(page.next).isEqualTo(TopicPosition(0, 5))
        expectThat(page.ageMillis).isNull()
        val ofEra = decodeHex(PAGE_OF_ERA)
        expectThat(ofEra.records.map { it.position })
            .containsExactly(TopicPosition(2, 3), TopicPosition(2, 4))
        expectThat(ofEra.next).isEqualTo(TopicPosition(2, 5))
    }

    @Test
    fun `a page with an age holds what the version before ages reads`() {
        val bytes = encodePage(RelayedPage(persistentListOf(record), TopicPosition(2, 5), -7))
        val page = Cbor { ignoreUnknownKeys = true }
            .decodeFromByteArray(PageBeforeAges.serializer(), bytes)
        expectThat(page.records.map { it.key to it.offset }).containsExactly("config" to 3L)
        expectThat(page.nextOffset).isEqualTo(5)
        expectThat(page.era).isEqualTo(2)
    }

    @Test
    fun `the age of a page is passed on, also that of records read after the request`() {
        listOf(-7L, 0, 1_400).forEach { age ->
            val bytes = encodePage(RelayedPage(persistentListOf(record), TopicPosition(2, 5), age))
            expectThat(decodePage(bytes).ageMillis).isEqualTo(age)
        }
    }
}
