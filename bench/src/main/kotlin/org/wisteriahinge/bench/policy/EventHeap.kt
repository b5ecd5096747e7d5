package org.wisteriahinge.bench.policy

/** A persistent leftist heap of timed values; equal times keep the order of insertion. */
internal sealed class EventHeap<out T> {
    abstract val rank: Int

    data object Empty : EventHeap<Nothing>() {
        override val rank: Int get() = 0
    }

    class Node<out T>(
        val atMicros: Long,
        val sequence: Long,
        val value: T,
        val left: EventHeap<T>,
        val right: EventHeap<T>
    ) : EventHeap<T>() {
        override val rank: Int = right.rank + 1

        fun rest(): EventHeap<T> = merge(left, right)
    }
}

internal fun <T> EventHeap<T>.add(atMicros: Long, sequence: Long, value: T): EventHeap<T> =
    merge(this, EventHeap.Node(atMicros, sequence, value, EventHeap.Empty, EventHeap.Empty))

private fun <T> merge(first: EventHeap<T>, second: EventHeap<T>): EventHeap<T> = when (first) {
    EventHeap.Empty -> second
    is EventHeap.Node -> when (second) {
        EventHeap.Empty -> first
        is EventHeap.Node ->
            if (first.precedes(second)) first.joined(second) else second.joined(first)
    }
}

private fun <T> EventHeap.Node<T>.precedes(other: EventHeap.Node<T>): Boolean =
    atMicros < other.atMicros || (atMicros == other.atMicros && sequence < other.sequence)

private fun <T> EventHeap.Node<T>.joined(later: EventHeap<T>): EventHeap.Node<T> {
    val merged = merge(right, later)
    return if (left.rank >= merged.rank) {
        EventHeap.Node(atMicros, sequence, value, left, merged)
    } else {
        EventHeap.Node(atMicros, sequence, value, merged, left)
    }
}
