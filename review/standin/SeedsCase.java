import java.util.List;
import java.util.stream.Collectors;

/**
 * QUOTA while the machines have settings with different seeds. Two machines are stopped and started
 * again after one seed in the settings has changed; all others run on. Then a tenant is hot.
 */
final class SeedsCase {
    private static final double RATE = 100;
    private static final double BURST = 20;
    /** A quota is 1.6 times the usual rate (`quota_x`); `hot_tenant` has x = 7.5 for 6.5 s. */
    private static final double USUAL = RATE / 1.6;
    private static final double HOT = 7 * USUAL;
    private static final String TENANT = "sese880";
    private static final String KEY = "edev3nax7u27gxprymh2";

    private SeedsCase() {}

    public static void main(String[] args) {
        Site.run(args, SeedsCase::isBroken);
    }

    private static boolean isBroken(Site site, boolean hasTrouble) throws Exception {
        for (int i = 0; i < 6; i++) {
            site.addTarget("i-" + i, "huvo11a", List.of("a", "b", "c").get(i % 3), 6, 50);
        }
        for (int i = 0; i < 6; i++) {
            site.addFront(List.of("a", "b", "c").get(i % 3), site.store.address);
        }
        String first = seeds(site.fronts.subList(0, 3));
        String second =
            seeds(List.of(site.fronts.get(3), site.fronts.get(0), site.fronts.get(1)));
        for (Front front : site.fronts) front.set("seeds", first);
        site.store.put("keyed.op", "config", Site.config(7, "huvo11a", 5.6,
            "[\"sese880\",[\"edev3nax7u27gxprymh2\"],1," + RATE + "," + BURST + "]"));
        site.startBeats(() -> site.targets);
        site.startFronts();
        site.startRotation();
        Site.sleep(2_000);
        Thread work = new Thread(() -> restart(site, hasTrouble ? second : first));
        work.start();
        while (work.isAlive()) site.traffic(TENANT, KEY, USUAL, 1, 2_000);
        site.traffic(TENANT, KEY, USUAL, 4, 2_000);
        site.rig.say("the tenant is hot");
        site.traffic(TENANT, KEY, HOT, 6.5, 2_000);
        site.traffic(TENANT, KEY, USUAL, 2, 2_000);
        Site.sleep(2_500);
        site.noteRuns();
        return Quota.isBroken(site, TENANT, RATE, BURST);
    }

    private static String seeds(List<Front> fronts) {
        return fronts.stream().map(front -> front.control).collect(Collectors.joining(","));
    }

    /** SIGTERM to one machine after the other, each of which starts again with the new settings. */
    private static void restart(Site site, String seeds) {
        try {
            Site.sleep(2_000);
            for (Front front : site.fronts.subList(3, 5)) {
                front.set("seeds", seeds);
                site.rig.say("SIGTERM to " + front.name);
                front.stop(6);
                site.rig.say(front.name + " has ended and starts with the seeds " + seeds);
                front.start();
                front.awaitReady(30_000);
                site.rig.say(front.name + " is ready");
            }
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
