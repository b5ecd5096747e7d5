import java.util.ArrayList;
import java.util.List;

/**
 * QUOTA while two of six machines, one of them a relay, are cut off from all other machines and
 * from the store, and their channels are refused.
 */
final class CutCase {
    private static final double RATE = 100;
    private static final double BURST = 20;
    /** A quota is 1.6 times the usual rate (`quota_x`); `hot_tenant` has x = 7.5 for 6.5 s. */
    private static final double USUAL = RATE / 1.6;
    private static final double HOT = 7 * USUAL;
    private static final String TENANT = "sese880";
    private static final String KEY = "edev3nax7u27gxprymh2";
    private static final int RELAYS = 3;
    private static final List<Integer> CUT = List.of(2, 5);

    private CutCase() {}

    public static void main(String[] args) {
        Site.run(args, CutCase::isBroken);
    }

    private static boolean isBroken(Site site, boolean hasTrouble) throws Exception {
        for (int i = 0; i < 6; i++) {
            site.addTarget("i-" + i, "huvo11a", List.of("a", "b", "c").get(i % 3), 6, 50);
        }
        List<Proxy> ways = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            String store = site.store.address;
            if (CUT.contains(i)) {
                String host = "127.0.2." + (i + 1);
                Proxy way = new Proxy(host, Rig.freePort(host), store);
                ways.add(way);
                store = way.address();
            }
            site.addFront(List.of("a", "b", "c").get(i % 3), store);
        }
        for (int i = 0; i < 6; i++) site.fronts.get(i).set("seeds", seeds(site, i, ways));
        site.store.put("keyed.op", "config", Site.config(7, "huvo11a", 5.6,
            "[\"sese880\",[\"edev3nax7u27gxprymh2\"],1," + RATE + "," + BURST + "]"));
        site.startBeats(() -> site.targets);
        site.startFronts();
        site.startRotation();
        Site.sleep(2_000);
        site.traffic(TENANT, KEY, USUAL, 5, 2_000);
        site.rig.say("the tenant is hot");
        if (hasTrouble) Rig.thread("cut", () -> cut(site, ways));
        site.traffic(TENANT, KEY, HOT, 6.5, 2_000);
        site.traffic(TENANT, KEY, USUAL, 7, 2_000);
        Site.sleep(2_500);
        site.noteRuns();
        for (Proxy way : ways) way.close();
        return Quota.isBroken(site, TENANT, RATE, BURST);
    }

    /** The seeds as machine `i` reaches them: through a proxy, if a cut lies between them. */
    private static String seeds(Site site, int i, List<Proxy> ways) throws Exception {
        List<String> all = new ArrayList<>();
        for (int relay = 0; relay < RELAYS; relay++) {
            String address = site.fronts.get(relay).control;
            if (relay != i && (CUT.contains(i) || CUT.contains(relay))) {
                // The relays keep their order: the first part of the address is the same.
                String host = "127.0.1." + (relay + 1);
                Proxy way = new Proxy(host, Rig.freePort(host), address);
                ways.add(way);
                address = way.address();
            }
            all.add(address);
        }
        return String.join(",", all);
    }

    /** One cut of 12 s. */
    private static void cut(Site site, List<Proxy> ways) {
        try {
            Site.sleep(500);
            site.rig.say("machines 3 and 6 are cut off");
            for (Proxy way : ways) way.cut();
            Site.sleep(12_000);
            for (Proxy way : ways) way.heal();
            site.rig.say("the cut has healed");
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
