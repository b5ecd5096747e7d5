package org.wisteriahinge.adapters.backend

/**
 * How the answer to a request is recognised on its connection.
 *
 * A target may send a second copy of an answer late, when the connection carries the next request.
 */
public sealed interface AnswerOwnership {
    /** The server sends exactly one answer to each request, so the next one is taken. */
    public data object NextAnswer : AnswerOwnership

    /** The answer repeats [header] of the request. */
    public data class Repeats(val header: HeaderField) : AnswerOwnership

    /** The request has no header [name], so that an answer with it belongs to another request. */
    public data class RepeatsNothing(val name: String) : AnswerOwnership
}

/** The request that an answer belongs to. */
internal sealed interface AnswerOwner {
    data object ThisRequest : AnswerOwner
    data object OtherRequest : AnswerOwner

    /** It may be the answer to this request or the copy of an earlier one. */
    data object Unknown : AnswerOwner
}

/** The name of the header that answers repeat; null if they repeat none. */
internal val AnswerOwnership.headerName: String?
    get() = when (this) {
        AnswerOwnership.NextAnswer -> null
        is AnswerOwnership.Repeats -> header.name
        is AnswerOwnership.RepeatsNothing -> name
    }

/**
 * The owner of an answer with the values [repeated] in the header that answers repeat.
 *
 * On a connection that is not [isReused] there is no earlier request, so that an answer without the
 * header, such as a rejection of a request that the server could not read, has only one owner.
 */
internal fun AnswerOwnership.ownerOf(repeated: List<String>, isReused: Boolean): AnswerOwner =
    when (this) {
        AnswerOwnership.NextAnswer -> AnswerOwner.ThisRequest
        is AnswerOwnership.RepeatsNothing ->
            if (repeated.isEmpty()) AnswerOwner.ThisRequest else AnswerOwner.OtherRequest
        is AnswerOwnership.Repeats -> when {
            repeated.isEmpty() && isReused -> AnswerOwner.Unknown
            repeated.all { it == header.value } -> AnswerOwner.ThisRequest
            repeated.none { it == header.value } -> AnswerOwner.OtherRequest
            else -> AnswerOwner.Unknown
        }
    }
