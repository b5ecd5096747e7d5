import java.util.List;
import java.util.stream.Collectors;

/**
 * QUOTA while the machines have settings with different seeds. Three machines are stopped and
 * started again after the seeds in the settings have changed; all others run on.
 */
final class SeedsCase {
    private static final double RATE = 100;
    private static final double BURST = 20;

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
        String second = seeds(site.fronts.subList(3, 6));
        for (Front front : site.fronts) front.set("seeds", first);
        site.store.put("keyed.op", "config", Site.config(7, "huvo11a", 5.6,
            "[\"sese880\",[\"edev3nax7u27gxprymh2\"],1," + RATE + "," + BURST + "]"));
        site.startBeats(() -> site.targets);
        site.startFronts();
        site.startRotation();
        Site.sleep(2_000);
        Rig.thread("planned-work", () -> restart(site, hasTrouble ? second : first));
        site.traffic("sese880", "edev3nax7u27gxprymh2", 3 * RATE, 40, 2_000);
        Site.sleep(2_500);
        site.noteRuns();
        return Quota.isBroken(site, "sese880", RATE, BURST);
    }

    private static String seeds(List<Front> fronts) {
        return fronts.stream().map(front -> front.control).collect(Collectors.joining(","));
    }

    /** SIGTERM to one machine after the other, each of which starts again with the new settings. */
    private static void restart(Site site, String seeds) {
        try {
            Site.sleep(8_000);
            for (Front front : site.fronts.subList(3, 6)) {
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
