package org.wisteriahinge.bench

import java.time.Duration
import kotlin.concurrent.thread
import org.junit.jupiter.api.Test
import org.wisteriahinge.bench.soak.LinkMode
import org.wisteriahinge.bench.standin.TargetBehaviour
import strikt.api.expectThat
import strikt.assertions.isEqualTo

private const val TARGETS = 6

/** As many broken connections as crashes that get a request refused. */
private const val CUTS = 3
private val SERVICE_TIME: Duration = Duration.ofMillis(400)
private val TIME_TO_REACH_TARGET: Duration = Duration.ofMillis(150)
private val CUT_TIME: Duration = Duration.ofMillis(600)

/** Guards against links that break being taken for backend servers that crash. */
class BrokenLinksTest {
    @Test
    fun `a request is still served after the links of its instance broke three times`() {
        FrontDeployment(TARGETS).use { deployment ->
            deployment.targets.forEach { it.behave(TargetBehaviour(serviceTime = SERVICE_TIME)) }
            deployment.start().use { front ->
                await("ready") { deployment.status(front.ready) == 200 }
                repeat(CUTS) { deployment.cutDuringRequest(front) }
                await("answer") { deployment.send(front.callers, "/x/other").statusCode() == 200 }
                val last = deployment.send(front.callers, "/x/same", id = "last")
                expectThat(last.statusCode()).isEqualTo(200)
            }
        }
    }

    private fun FrontDeployment.cutDuringRequest(front: RunningFront) {
        val sender = thread { send(front.callers, "/x/same") }
        Thread.sleep(TIME_TO_REACH_TARGET.toMillis())
        links.forEach { it.setMode(LinkMode.Refusing) }
        sender.join()
        Thread.sleep(CUT_TIME.toMillis())
        links.forEach { it.setMode(LinkMode.Open) }
        await("answer") { send(front.callers, "/x/other").statusCode() == 200 }
    }
}
