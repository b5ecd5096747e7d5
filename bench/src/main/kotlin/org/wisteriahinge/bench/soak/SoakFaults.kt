package org.wisteriahinge.bench.soak

import java.time.Duration
import java.util.concurrent.locks.ReentrantLock
import org.wisteriahinge.bench.standin.StoreBehaviour
import org.wisteriahinge.bench.standin.TargetBehaviour

private val SLOW_SERVICE_TIME: Duration = Duration.ofMillis(400)

/** How long a target works when nothing disturbs it. */
internal val NORMAL_SERVICE_TIME: Duration = Duration.ofMillis(60)

/** Carries faults out, each on a thread of its own, and notes when they were in effect. */
internal class SoakFaults(
    private val deployment: SoakDeployment,
    private val recorder: SoakRecorder
) {
    /** Begins [fault]; the thread ends with it. */
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
                // A JVM ends at a SIGHUP that comes before it runs the program.
                val instance = deployment.instances[fault.instance]
                if (instance.isListening()) recorded(fault) { instance.signal("HUP") }
            }
            is SoakFault.TargetLink -> recorded(fault) {
                disturb(deployment.targetLinks[fault.target], fault.link, fault.length)
            }
            is SoakFault.StoreLink -> recorded(fault) {
                disturb(deployment.storeLinks[fault.instance], fault.link, fault.length)
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
            is SoakFault.SlowTarget -> recorded(fault) {
                deployment.targets[fault.target].behave(TargetBehaviour(SLOW_SERVICE_TIME))
                sleep(fault.length)
                deployment.targets[fault.target].behave(TargetBehaviour(NORMAL_SERVICE_TIME))
            }
            is SoakFault.Drain -> drain(fault)
            SoakFault.NewConfiguration -> configure()
        }
    }

    private fun configure() {
        val version = synchronized(this) { deployment.configure() }
        recorder.note(SoakNote.Event(SoakEvent.ConfigurationPublished(version, recorder.now())))
    }

    // The event is noted with the moment at which the store has the entry.
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

    private fun disturb(proxy: LoopbackProxy, link: LinkMode, length: Duration) {
        proxy.setMode(link)
        sleep(length)
        proxy.setMode(LinkMode.Open)
    }

    private fun recorded(fault: SoakFault, block: () -> Unit) {
        val from = recorder.now()
        block()
        recorder.note(SoakNote.Event(SoakEvent.FaultInjected(fault, from, recorder.now())))
    }

    /** A fault that finds another one at work on its instance is left out. */
    private fun exclusively(instance: Int, block: () -> Unit) {
        val lock: ReentrantLock = deployment.locks[instance]
        if (!lock.tryLock()) return
        try {
            if (deployment.instances[instance].isAlive) block()
        } finally {
            lock.unlock()
        }
    }

    /** Starts instances again that ended although nobody ended them. */
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
