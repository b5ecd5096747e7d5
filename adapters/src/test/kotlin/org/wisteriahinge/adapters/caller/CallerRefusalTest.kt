package org.wisteriahinge.adapters.caller

import java.time.Duration
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.Arguments.arguments
import org.junit.jupiter.params.provider.MethodSource
import org.wisteriahinge.adapters.backend.ConnectionLimits
import org.wisteriahinge.core.call.CallCounter
import org.wisteriahinge.core.model.RequestLimits
import org.wisteriahinge.runtime.Ring
import strikt.api.Assertion
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isTrue

private const val OLD_KEY = "3f2504e0-4f89-41d3-9a0c-0305e82c3301"
private const val KEY = "01890a5d-ac96-774b-bcce-b302099a8057"

/** Asserts a problem document that says that the request was not run. */
internal fun Assertion.Builder<RawMessage?>.isRefusal(status: Int, reason: String) =
    isNotNull().and {
        get { this.status }.isEqualTo(status)
        get { header("Content-Type").orEmpty() }.contains("application/problem+json")
        get { text }.contains("urn:wisteriahinge:refusal:$reason\"")
        get { text }.contains("\"not_run\"")
    }

/** Guards against invalid requests being forwarded, or refused without a usable reason. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class CallerRefusalTest {
    private fun post(headers: String, body: String = "") =
        "POST /bookings HTTP/1.1\r\nHost: lb\r\n$AUTHORIZATION$headers\r\n$body"

    @Suppress("LongMethod")
    fun refusedInput(): List<Arguments> = listOf(
        arguments("no credential", get(headers = ""), 401, "missing_credential"),
        arguments(
            "unknown credential",
            get(headers = "Authorization: Bearer nobody.x\r\n"),
            401,
            "unknown_credential"
        ),
        arguments(
            "wrong secret",
            get(headers = "Authorization: Bearer delta-1.wrong\r\n"),
            401,
            "unknown_credential"
        ),
        arguments("unknown path", get("/other"), 404, "unknown_operation"),
        arguments(
            "both lengths",
            post("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
            400,
            "malformed_request"
        ),
        arguments(
            "folded header",
            post("X-Long: a\r\n b\r\nContent-Length: 1\r\n", "a"),
            400,
            "malformed_request"
        ),
        arguments(
            "different lengths",
            post("Content-Length: 4\r\nContent-Length: 5\r\n", "aaaa"),
            400,
            "malformed_request"
        ),
        arguments("negative length", post("Content-Length: -1\r\n"), 400, "malformed_request"),
        arguments("signed length", post("Content-Length: +1\r\n", "a"), 400, "malformed_request"),
        arguments(
            "unknown coding",
            post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"),
            400,
            "malformed_request"
        ),
        arguments(
            "hidden coding",
            post("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n"),
            400,
            "malformed_request"
        ),
        arguments(
            "bad chunk size",
            post(
                "Idempotency-Key: $KEY\r\nTransfer-Encoding: chunked\r\n",
                "zz\r\nabc\r\n0\r\n\r\n"
            ),
            400,
            "malformed_request"
        ),
        arguments("bare line feeds", get().replace("\r\n", "\n"), 400, "malformed_request"),
        arguments("one bare line feed", get().replace("lb\r\n", "lb\n"), 400, "malformed_request"),
        arguments(
            "space before colon",
            get(headers = "${AUTHORIZATION}Content-Length : 3\r\n"),
            400,
            "malformed_request"
        ),
        arguments("no host", get().replace("Host: lb\r\n", ""), 400, "malformed_request"),
        arguments(
            "two hosts",
            get(headers = "${AUTHORIZATION}Host: other\r\n"),
            400,
            "malformed_request"
        ),
        arguments("dot segment", get("/results/.."), 400, "malformed_request"),
        arguments("encoded dot segment", get("/results/%2e%2E"), 400, "malformed_request"),
        arguments("encoded slash", get("/results/..%2fadmin"), 400, "malformed_request"),
        arguments("absolute target", get("http://other/results/1"), 400, "malformed_request"),
        arguments(
            "large header",
            get(headers = "${AUTHORIZATION}X-Large: ${"x".repeat(20_000)}\r\n"),
            431,
            "headers_too_large"
        ),
        arguments(
            "many headers",
            get(headers = AUTHORIZATION + "X-Many: 12345678\r\n".repeat(1_200)),
            431,
            "headers_too_large"
        ),
        arguments("long target", get("/results/${"x".repeat(20_000)}"), 431, "headers_too_large"),
        arguments(
            "depth not a number",
            get(headers = "${AUTHORIZATION}Wisteriahinge-Depth: one\r\n"),
            400,
            "malformed_request"
        ),
        arguments(
            "too deep",
            get(headers = "${AUTHORIZATION}Wisteriahinge-Depth: 25\r\n"),
            508,
            "too_deep"
        ),
        arguments(
            "timeout not a number",
            get(headers = "${AUTHORIZATION}Wisteriahinge-Timeout-Ms: 1s\r\n"),
            400,
            "malformed_request"
        ),
        arguments(
            "two timeouts",
            get(headers = AUTHORIZATION + "Wisteriahinge-Timeout-Ms: 100\r\n".repeat(2)),
            400,
            "malformed_request"
        ),
        arguments(
            "no time left",
            get(headers = "${AUTHORIZATION}Wisteriahinge-Timeout-Ms: 0\r\n"),
            504,
            "deadline_passed"
        ),
        arguments("no key", post("Content-Length: 1\r\n", "a"), 400, "missing_idempotency_key"),
        arguments(
            "key of another version",
            post("Idempotency-Key: $OLD_KEY\r\nContent-Length: 1\r\n", "a"),
            400,
            "invalid_idempotency_key"
        ),
        arguments(
            "key that is no UUID",
            post("Idempotency-Key: 7\r\nContent-Length: 1\r\n", "a"),
            400,
            "invalid_idempotency_key"
        ),
        arguments(
            "large body",
            post("Idempotency-Key: $KEY\r\nContent-Length: 2000000\r\n"),
            413,
            "body_too_large"
        ),
        arguments(
            "slow body",
            post("Idempotency-Key: $KEY\r\nContent-Length: 10\r\n", "abc"),
            408,
            "slow_sender"
        ),
        arguments("slow head", get().dropLast(10), 408, "slow_sender")
    )

    @ParameterizedTest(name = "{0}")
    @MethodSource("refusedInput")
    fun `refused with a problem document and not forwarded`(
        name: String,
        input: String,
        status: Int,
        reason: String
    ) {
        val target = RawTarget { answer("must not be reached") }
        val fixture = CallerFixture(listOf(target)) {
            it.copy(
                body = BodyLimits(stallTimeout = Duration.ofMillis(300)),
                bounds = RequestLimits(
                    maxBodyBytes = 1_000_000,
                    headTimeout = Duration.ofMillis(400)
                )
            )
        }
        fixture.use {
            expectThat(it.exchange(input)).describedAs(name).isRefusal(status, reason)
            expectThat(target.requests).isEmpty()
            await("counted $reason") {
                fixture.counted.any { counter ->
                    counter is CallCounter.Refused && counter.reason.wireName == reason
                }
            }
        }
    }

    @Test
    fun `the body of a refused request is not parsed as the next request`() {
        val target = RawTarget { answer("ok") }
        CallerFixture(listOf(target)).use { fixture ->
            fixture.caller().use { caller ->
                val hidden = get()
                caller.send(
                    "PUT /other HTTP/1.1\r\nHost: lb\r\nContent-Length: 900000\r\n\r\n$hidden"
                )
                expectThat(caller.receive()).isRefusal(401, "missing_credential")
                expectThat(caller.isClosedByServer()).isTrue()
            }
            expectThat(target.requests).isEmpty()
        }
    }

    @Test
    fun `a full ring refuses with Retry-After and loses no accepted call`() {
        val target = RawTarget { answer("ok") }
        val fixture = CallerFixture(
            listOf(target),
            ring = Ring("calls", capacity = 26, reserved = 24),
            maxCalls = 4,
            startDuty = false
        )
        fixture.use {
            val accepted = fixture.caller().send(get())
            Thread.sleep(200)
            val refused = fixture.exchange(get())
            expectThat(refused).isRefusal(503, "instance_overloaded")
            expectThat(refused?.header("Retry-After")).isEqualTo("1")
            fixture.duty.start()
            expectThat(accepted.receive()).isNotNull().get { text }.isEqualTo("ok")
        }
    }

    @Test
    fun `calls above the limit of calls in progress are refused immediately`() {
        val release = java.util.concurrent.CountDownLatch(1)
        val target = RawTarget {
            release.await()
            answer("ok")
        }
        CallerFixture(listOf(target), ConnectionLimits(4), maxCalls = 2).use { fixture ->
            val first = fixture.caller().send(get())
            val second = fixture.caller().send(get())
            await("both forwarded") { target.requests.size == 2 }
            expectThat(fixture.exchange(get())).isRefusal(503, "instance_overloaded")
            release.countDown()
            expectThat(first.receive()).isNotNull().get { text }.isEqualTo("ok")
            expectThat(second.receive()).isNotNull().get { text }.isEqualTo("ok")
        }
    }
}
