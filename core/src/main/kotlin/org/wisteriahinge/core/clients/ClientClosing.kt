package org.wisteriahinge.core.clients

/** Why a client's connection was closed to protect the others. */
public sealed class ClientClosing(public val wireName: String) {
    /** It was the longest without progress when all connections to its address were in use. */
    public data object ConnectionsFull : ClientClosing("connections_full")

    /** It was the longest without progress when the memory for clients was full. */
    public data object MemoryFull : ClientClosing("memory_full")

    /** It did not read its answer. */
    public data object AnswerNotRead : ClientClosing("answer_not_read")

    /** There was no room for it, and no other connection could be closed. */
    public data object NoRoom : ClientClosing("no_room")
}
