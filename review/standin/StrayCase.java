import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * MIXED and TWICE while a faulty target sends additional bytes after complete answers: the status
 * line of a second answer that it breaks off. With STRAY=421 that line is another one.
 */
final class StrayCase {
    private StrayCase() {}

    public static void main(String[] args) {
        Site.run(args, StrayCase::isBroken);
    }

    private static boolean isBroken(Site site, boolean hasTrouble) throws Exception {
        List<RawTarget> targets = new ArrayList<>();
        boolean is421 = "421".equals(System.getenv("STRAY"));
        for (int i = 0; i < 4; i++) {
            // Shares of the site file: `error_share` 0.001; `garble` x 0.03.
            targets.add(new RawTarget(site.rig, "i-" + i, "visits", 3, 20, 0.001, 0.03,
                is421 ? "HTTP/1.1 421 Misdirected Request" : "HTTP/1.1 200 OK", !is421));
        }
        for (int i = 0; i < 3; i++) {
            Front front = site.addFront("a", site.store.address);
            front.set("bounds.revokeMs", "");
            front.set("bounds.configApplyMs", "2000");
            front.set("bounds.drainMs", "2000");
        }
        String seeds = site.fronts.get(0).control;
        for (Front front : site.fronts) front.set("seeds", seeds);
        site.store.put("keyed.op", "config",
            Site.config(7, "visits", 0, null).replace("\"safe\"", "\"unsafe\""));
        for (RawTarget target : targets) {
            site.store.put("keyed.servers", target.id, target.entry());
        }
        Rig.thread("beats", () -> {
            while (true) {
                Site.sleep(1_500);
                for (RawTarget target : targets) {
                    site.store.put("keyed.servers", target.id, target.entry());
                }
            }
        });
        site.startFronts();
        site.startRotation();
        Site.sleep(1_000);
        Rig.thread("garble", () -> garble(site, targets, hasTrouble));
        site.traffic("booking", null, 400, 30, 2_500);
        Site.sleep(3_000);
        return check(site, targets);
    }

    /** For 5 s, half of the targets send additional bytes; the site file has a share of 0.6. */
    private static void garble(Site site, List<RawTarget> targets, boolean hasTrouble) {
        Site.sleep(20_000);
        for (RawTarget target : targets) target.mayFail = true;
        if (hasTrouble) {
            for (RawTarget target : targets.subList(0, 2)) target.isFaulty = true;
            site.rig.say("the targets i-0 and i-1 are faulty");
        }
        Site.sleep(5_000);
        for (RawTarget target : targets) target.isFaulty = false;
        site.rig.say("all targets are sound");
    }

    /** A success for a request to which the target gave a failure, and requests that ran twice. */
    private static boolean check(Site site, List<RawTarget> targets) {
        Map<String, Integer> answered = new HashMap<>();
        int strays = 0;
        int twice = 0;
        for (RawTarget target : targets) {
            for (Map.Entry<String, Integer> run : target.answered.entrySet()) {
                if (answered.put(run.getKey(), run.getValue()) != null) {
                    twice++;
                    site.rig.note("TWICE: more than one target ran " + run.getKey());
                }
            }
            strays += target.strays.get();
        }
        int mixed = 0;
        for (Rig.Sent sent : site.sent) {
            Integer given = answered.get(sent.id());
            if (sent.status() / 100 == 2 && given != null && given != sent.status()) {
                mixed++;
                site.rig.note(sent.endNanos(), "MIXED: the consumer has " + sent.status() + " to "
                    + sent.id() + ", to which the target gave " + given);
            }
        }
        long failures = answered.values().stream().filter(status -> status != 200).count();
        site.rig.say(site.sent.size() + " requests, " + failures + " failed by their target, "
            + strays + " broken-off second answers");
        site.rig.say("MIXED: " + mixed + " successes for requests that their target failed");
        site.rig.say("TWICE: " + twice + " unsafe requests that two targets ran");
        return mixed > 0 || twice > 0;
    }
}
