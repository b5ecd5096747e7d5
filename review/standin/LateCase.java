import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * DRAIN when a target's write to the store gets no response and is executed seconds later, after the
 * target has reported that it leaves.
 */
final class LateCase {
    private static final long DRAIN_MILLIS = 2_000;
    /** The target goes on for this long after the ack, "a little longer" than `drainMs`. */
    private static final long SERVES_MILLIS = 4_500;

    private LateCase() {}

    public static void main(String[] args) {
        Site.run(args, LateCase::isBroken);
    }

    private static boolean isBroken(Site site, boolean hasTrouble) throws Exception {
        for (int i = 0; i < 4; i++) {
            Target target = site.addTarget("i-" + i, "xano55b", i < 2 ? "a" : "b", 3, 100);
            target.maxQueued = 6;
        }
        for (int i = 0; i < 3; i++) {
            Front front = site.addFront(i < 2 ? "a" : "b", site.store.address);
            front.set("bounds.configApplyMs", "2000");
            front.set("bounds.drainMs", "" + DRAIN_MILLIS);
            front.set("bounds.revokeMs", "");
        }
        String seeds = site.fronts.get(0).control + "," + site.fronts.get(2).control;
        for (Front front : site.fronts) front.set("seeds", seeds);
        site.method = "POST";
        site.store.put("keyed.op", "config",
            Site.config(7, "xano55b", 0, null).replace("\"safe\"", "\"unsafe\""));
        Set<Target> quiet = ConcurrentHashMap.newKeySet();
        site.startBeats(() -> site.targets.stream().filter(t -> !quiet.contains(t)).toList());
        site.startFronts();
        site.startRotation();
        Site.sleep(4_000);
        long[] ackedAt = new long[1];
        Target leaving = site.targets.get(0);
        Rig.thread("leaving", () -> leave(site, leaving, quiet, hasTrouble, ackedAt));
        site.traffic("count-submit", null, 60, 20, 2_500);
        Site.sleep(3_000);
        site.noteRuns();
        return check(site, leaving, ackedAt[0]);
    }

    private static void leave(Site site, Target target, Set<Target> quiet, boolean hasTrouble,
        long[] ackedAt) {
        Site.sleep(5_000);
        quiet.add(target);
        String late = target.entry("ready");
        if (hasTrouble) {
            site.rig.say("the store does not respond to a write of " + target.id + ": " + late);
        } else {
            site.store.put("keyed.servers", target.id, late);
        }
        Site.sleep(1_000);
        String leaves = target.entry("draining");
        site.store.put("keyed.servers", target.id, leaves);
        ackedAt[0] = System.nanoTime();
        site.rig.say("ack for " + target.id + ": " + leaves);
        for (long slept = 0; slept < SERVES_MILLIS; slept += 500) {
            Site.sleep(500);
            // Written again every heartbeatMs while the target leaves.
            if (slept + 500 == 1_500 || slept + 500 == 4_000) site.register(target, "draining");
            if (slept + 500 == 2_500 && hasTrouble) {
                site.store.put("keyed.servers", target.id, late);
                site.rig.say("the store executes the write to which it did not respond");
            }
        }
        target.end();
        site.store.put("keyed.servers", target.id, "");
        site.rig.say(target.id + " has ended, and its entry is removed");
    }

    private static boolean check(Site site, Target leaving, long ackedAt) {
        long bound = ackedAt + DRAIN_MILLIS * 1_000_000L;
        Map<String, Rig.Sent> sent = new HashMap<>();
        for (Rig.Sent each : site.sent) sent.put(each.id(), each);
        int late = 0;
        int lost = 0;
        for (Target.Arrival arrival : leaving.arrivals) {
            if (arrival.atNanos() <= bound) continue;
            late++;
            Rig.Sent request = sent.get(arrival.id());
            int status = request == null ? 0 : request.status();
            if (status != 200) lost++;
            site.rig.note(arrival.atNanos(), "DRAIN: " + arrival.id() + " reaches " + leaving.id
                + " " + (arrival.atNanos() - ackedAt) / 1_000_000 + " ms after the ack; its end is "
                + status);
        }
        site.rig.say("DRAIN: " + late + " requests reached " + leaving.id + " later than "
            + DRAIN_MILLIS + " ms after the ack of its leaving; " + lost + " of these were lost");
        return late > 0;
    }
}
