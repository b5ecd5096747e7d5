package org.wisteriahinge.bench

import java.net.http.HttpResponse
import java.time.Duration
import org.junit.jupiter.api.Test
import org.wisteriahinge.app.PropagationBounds
import org.wisteriahinge.bench.standin.StoreBehaviour
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

private const val OLD_KEY = "old-key"
private const val NEW_KEY = "new-key"
private val BOUNDS = PropagationBounds(revocation = Duration.ofSeconds(2))

/** Guards against a key that works after it was taken away, and one that fails before. */
class KeyRevocationTest {
    private fun keyed(version: Int, vararg keys: String): String {
        val list = keys.joinToString(",") { "\"$it\"" }
        return configuration(
            version
        ).dropLast(1) + ""","tenants":{"columns":["name","apiKeys"],""" +
            """"rows":[["customer-1",[$list]]]}}"""
    }

    private fun FrontDeployment.publish(configuration: String) =
        store.put("keyed.op", "config", configuration)

    private fun FrontDeployment.sendWith(key: String?, to: RunningFront): HttpResponse<String> =
        send(to.callers, "/x/1", key = key)

    private fun withInstance(test: (FrontDeployment, RunningFront) -> Unit) {
        FrontDeployment(bounds = BOUNDS).use { deployment ->
            deployment.publish(keyed(4, OLD_KEY))
            deployment.start().use { running ->
                await("ready") { deployment.status(running.ready) == 200 }
                await("key") { deployment.sendWith(OLD_KEY, running).statusCode() == 200 }
                test(deployment, running)
            }
        }
    }

    @Test
    fun `keys follow the configuration, and work at all times while the store answers`() {
        withInstance { deployment, running ->
            expectThat(deployment.sendWith(null, running).statusCode()).isEqualTo(401)
            deployment.publish(keyed(5, NEW_KEY))
            await("new key") { deployment.sendWith(NEW_KEY, running).statusCode() == 200 }
            expectThat(deployment.sendWith(OLD_KEY, running).statusCode()).isEqualTo(401)
            // Twice the bound: an instance that reads too seldom would refuse in between.
            val until = System.nanoTime() + BOUNDS.revocation!!.multipliedBy(2).toNanos()
            while (System.nanoTime() < until) {
                expectThat(deployment.sendWith(NEW_KEY, running).statusCode()).isEqualTo(200)
                Thread.sleep(20)
            }
        }
    }

    @Test
    fun `an instance that loses the store stops to accept keys until it reads it again`() {
        withInstance { deployment, running ->
            deployment.store.behave(StoreBehaviour.Down)
            await("refusal") { deployment.sendWith(OLD_KEY, running).statusCode() == 503 }
            val refused = deployment.sendWith(OLD_KEY, running)
            expectThat(refused.body()).contains("configuration_too_old")
            expectThat(refused.headers().firstValue("Retry-After").isPresent).isTrue()
            deployment.store.behave(StoreBehaviour.Up)
            await("key") { deployment.sendWith(OLD_KEY, running).statusCode() == 200 }
        }
    }

    @Test
    fun `a configuration that cannot be used may take keys away, so that none is accepted`() {
        withInstance { deployment, running ->
            deployment.publish(keyed(5, NEW_KEY, NEW_KEY))
            await("refusal") { deployment.sendWith(OLD_KEY, running).statusCode() == 503 }
            deployment.publish(keyed(6, NEW_KEY))
            await("new key") { deployment.sendWith(NEW_KEY, running).statusCode() == 200 }
        }
    }
}
