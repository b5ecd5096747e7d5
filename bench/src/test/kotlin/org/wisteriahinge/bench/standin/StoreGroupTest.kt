package org.wisteriahinge.bench.standin

import com.github.michaelbull.result.get
import java.time.Duration
import org.junit.jupiter.api.Test
import org.wisteriahinge.adapters.backend.BackendClient
import org.wisteriahinge.adapters.backend.ConnectionLimits
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.platform.StoreGroup
import org.wisteriahinge.runtime.HeldPartitions
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

/** Guards against two members of a group that hold the same partition. */
class StoreGroupTest {
    private val term = Duration.ofSeconds(3)

    private fun withGroups(block: (StandInStore, StoreGroup, StoreGroup) -> Unit) {
        StandInStore().use { store ->
            val address = Address("127.0.0.1", store.start())
            BackendClient(ConnectionLimits(perTarget = 2)).use { client ->
                block(
                    store,
                    StoreGroup("a", partitionsPerTopic = 12, address, client),
                    StoreGroup("b", partitionsPerTopic = 12, address, client)
                )
            }
        }
    }

    private fun StoreGroup.joined(generation: Long): HeldPartitions? = join(generation, term).get()

    @Test
    fun `the only member holds all partitions`() = withGroups { _, first, _ ->
        expectThat(first.joined(0)).isNotNull().get { partitions }.hasSize(first.partitionCount)
    }

    @Test
    fun `a partition goes to another member only after its holder has given it up`() =
        withGroups { _, first, second ->
            first.joined(0)
            val early = checkNotNull(second.joined(0))
            expectThat(early.partitions).isEmpty()
            val told = checkNotNull(first.joined(0))
            first.joined(told.generation)
            val later = checkNotNull(second.joined(early.generation))
            expectThat(later.partitions).hasSize(first.partitionCount / 2)
            expectThat(later.partitions.intersect(told.partitions)).isEmpty()
        }

    @Test
    fun `a member that leaves frees its partitions`() = withGroups { _, first, second ->
        first.joined(0)
        first.leave()
        expectThat(second.joined(0)).isNotNull().get { partitions.size }
            .isEqualTo(second.partitionCount)
    }

    @Test
    fun `a store that refuses joins is reported`() = withGroups { store, first, _ ->
        store.behave(StoreBehaviour.Down)
        expectThat(first.joined(0)).isNull()
    }
}
