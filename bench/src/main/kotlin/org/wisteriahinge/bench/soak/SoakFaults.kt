package org.wisteriahinge.bench.soak

import java.time.Duration
import java.util.concurrent.locks.ReentrantLock
import org.wisteriahinge.bench.standin.StoreBehaviour
import org.wisteriahinge.bench.standin.TargetBehaviour

private val SLOW_SERVICE_TIME: Duration = Duration.ofMillis(400)

/** Service time of a target that no fault slows down. */
internal val NORMAL_SERVICE_TIME: Duration = Duration.ofMillis(60)

/** Injects faults, each on its own thread, and records when they were in effect. */
internal class SoakFaults(
    private val deployment: SoakDeployment,
    private val recorder: SoakRecorder,
    private val traffic: SoakTraffic
) {
    /** Injects [fault] on a new thread, which ends when the fault does. */
    fun begin(fault: SoakFault): Thread = Thread { inject(fault) }.apply {
        isDaemon = true
        start()
    }

    private fun inject(fault: SoakFault) {
        when (fault) {
            is SoakFault.Restart -> exclusively(fault.instance) { restart(fault.instance) }
            is SoakFault.Kill -> exclusively(fault.instance) {
                recorded(fault) { kill(fault.instance) }
            }
            is SoakFault.Pause -> exclusively(fault.instance) {
                recorded(fault) { pause(fault.instance, fault.length) }
            }
            is SoakFault.HangUp -> exclusively(fault.instance) {
                // SIGHUP ends a JVM in which the program has not yet set its handler.
                val instance = deployment.instances[fault.instance]
                if (instance.isListening()) recorded(fault) { instance.signal("HUP") }
            }
            is SoakFault.TargetLink -> recorded(fault) {
                disturb(deployment.linksTo(fault.target), fault.link, fault.length)
            }
            is SoakFault.InstanceLinks -> recorded(fault) {
                disturb(deployment.targetLinks[fault.instance], fault.link, fault.length)
            }
            is SoakFault.StoreLink -> recorded(fault) {
                disturb(listOf(deployment.storeLinks[fault.instance]), fault.link, fault.length)
            }
            is SoakFault.StoreDown -> recorded(fault) {
                deployment.store.behave(StoreBehaviour.Down)
                sleep(fault.length)
                deployment.store.behave(StoreBehaviour.Up)
            }
            SoakFault.StoreCompaction -> recorded(fault) {
                deployment.store.forget("keyed.op")
                deployment.store.forget("keyed.servers")
            }
            is SoakFault.StoreRestore -> recorded(fault) {
                val copy = deployment.store.copy()
                sleep(fault.age)
                synchronized(this) { deployment.restore(copy) }
            }
            is SoakFault.SlowTarget -> recorded(fault) {
                deployment.targets[fault.target].behave(TargetBehaviour(SLOW_SERVICE_TIME))
                sleep(fault.length)
                deployment.targets[fault.target].behave(TargetBehaviour(NORMAL_SERVICE_TIME))
            }
            is SoakFault.LimitedTarget -> recorded(fault) {
                deployment.targets[fault.target].limitPerSecond = fault.perSecond
                sleep(fault.length)
                deployment.targets[fault.target].limitPerSecond = null
            }
            is SoakFault.Drain -> drain(fault)
            is SoakFault.CrashingRequest -> recorded(fault) {
                traffic.sendCrashing(fault.number, fault.length)
            }
            SoakFault.NewConfiguration -> configure()
        }
    }

    private fun configure() {
        val version = synchronized(this) { deployment.configure() }
        recorder.note(SoakNote.Event(SoakEvent.ConfigurationPublished(version, recorder.now())))
    }

    // The recorded period starts when the store has the entry, so it is written before.
    private fun drain(fault: SoakFault.Drain) {
        deployment.announce(fault.target, "draining")
        recorded(fault) { sleep(fault.length) }
        deployment.announce(fault.target, "ready")
    }

    private fun restart(index: Int) {
        val instance = deployment.instances[index]
        val from = recorder.now()
        val stopped = instance.stop()
        val until = recorder.now()
        instance.relaunch()
        recorder.note(SoakNote.Event(SoakEvent.InstanceStopped(index, stopped, from, until)))
    }

    private fun kill(index: Int) {
        deployment.instances[index].kill()
        deployment.instances[index].relaunch()
    }

    private fun pause(index: Int, length: Duration) {
        deployment.instances[index].signal("STOP")
        sleep(length)
        deployment.instances[index].signal("CONT")
    }

    private fun disturb(proxies: List<LoopbackProxy>, link: LinkMode, length: Duration) {
        proxies.forEach { it.setMode(link) }
        sleep(length)
        proxies.forEach { it.setMode(LinkMode.Open) }
    }

    private fun recorded(fault: SoakFault, block: () -> Unit) {
        val from = recorder.now()
        block()
        recorder.note(SoakNote.Event(SoakEvent.FaultInjected(fault, from, recorder.now())))
    }

    /** Skips the fault when another one holds the lock of [instance] or the process has exited. */
    private fun exclusively(instance: Int, block: () -> Unit) {
        val lock: ReentrantLock = deployment.locks[instance]
        if (!lock.tryLock()) return
        try {
            if (deployment.instances[instance].isAlive) block()
        } finally {
            lock.unlock()
        }
    }

    /** Restarts instances that exited without a fault that ends them, and records each exit. */
    fun restartExited() = deployment.instances.forEachIndexed { index, instance ->
        val lock = deployment.locks[index]
        if (!lock.tryLock()) return@forEachIndexed
        try {
            if (instance.isAlive) return@forEachIndexed
            recorder.note(SoakNote.Event(SoakEvent.UnexpectedExit(index, recorder.now())))
            instance.relaunch()
        } finally {
            lock.unlock()
        }
    }

    private fun sleep(length: Duration) = Thread.sleep(length.toMillis())
}
