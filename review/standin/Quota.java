import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The rule QUOTA, as `demands/LATER.md` states it, with the bounds of retseptiring-hq-grown. */
final class Quota {
    private static final double WINDOW_S = 5;
    private static final double EXCESS = 0.1;
    private static final double SLACK = 20;

    private Quota() {}

    /** Whether in some window more requests of the tenant were both sent and run than allowed. */
    static boolean isBroken(Site site, String tenant, double ratePerS, double burst) {
        double bound = (ratePerS * WINDOW_S + burst) * (1 + EXCESS) + SLACK;
        Map<String, Long> sentAt = new HashMap<>();
        for (Rig.Sent sent : site.sent) sentAt.put(sent.id(), sent.atNanos());
        List<long[]> runs = new ArrayList<>();
        Map<String, Boolean> seen = new HashMap<>();
        for (Target target : site.targets) {
            for (Target.Arrival run : target.runs) {
                Long sent = sentAt.get(run.id());
                boolean isFirst = seen.put(run.id(), true) == null;
                if (tenant.equals(run.tenant()) && sent != null && isFirst) {
                    runs.add(new long[] {sent, run.atNanos()});
                }
            }
        }
        runs.sort((a, b) -> Long.compare(a[0], b[0]));
        long window = (long) (WINDOW_S * 1e9);
        int most = 0;
        long at = 0;
        for (int first = 0; first < runs.size(); first++) {
            long end = runs.get(first)[0] + window;
            int count = 0;
            for (int i = first; i < runs.size() && runs.get(i)[0] < end; i++) {
                if (runs.get(i)[1] < end) count++;
            }
            if (count > most) {
                most = count;
                at = runs.get(first)[0];
            }
        }
        site.rig.note(at, "here begins the window of 5 s with the most requests of " + tenant
            + ": " + most);
        site.rig.say("QUOTA: " + most + " requests of " + tenant + " ran in the busiest 5 s; "
            + "the bound is " + bound);
        return most > bound;
    }
}
