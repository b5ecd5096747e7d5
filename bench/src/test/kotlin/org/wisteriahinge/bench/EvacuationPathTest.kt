package org.wisteriahinge.bench

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

private const val EVACUATION = "evacuate/zone-a"

/** Guards against an instance that misses the operator's evacuation of a zone, or its end. */
class EvacuationPathTest {
    private fun FrontDeployment.status(running: RunningFront): Int =
        send(running.callers, "/x/1").statusCode()

    @Test
    fun `targets of an evacuated zone get nothing, at instances that start in between too`() {
        FrontDeployment().use { deployment ->
            deployment.start().use { running ->
                await("ready") { deployment.status(running.ready) == 200 }
                expectThat(deployment.status(running)).isEqualTo(200)
                deployment.store.put("keyed.op", EVACUATION, "{}")
                await("evacuation") { deployment.status(running) == 503 }
                val before = deployment.targets.sumOf { it.ranIds.size }
                deployment.start(name = "front-2").use { late ->
                    await("late ready") { deployment.status(late.ready) == 200 }
                    repeat(5) {
                        expectThat(deployment.status(running)).isEqualTo(503)
                        expectThat(deployment.status(late)).isEqualTo(503)
                    }
                    expectThat(deployment.targets.sumOf { it.ranIds.size }).isEqualTo(before)
                    deployment.store.put("keyed.op", EVACUATION, null)
                    await("end") { deployment.status(running) == 200 }
                    await("end at the late instance") { deployment.status(late) == 200 }
                }
            }
        }
    }
}
