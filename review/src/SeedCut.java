import java.util.*;

/**
 * The instance that reads the store for the others is partitioned from the store; the operator adds a
 * route right after that. The others, whose links are whole, must serve the route 2 s after the store's ack.
 */
public final class SeedCut {
    private static final int ROUNDS = 8;
    private static final long CONFIG_APPLY_MS = 2_000;
    private static final long CUT_MS = 5_500;
    private static final long STABILITY_MS = 3_000;

    public static void main(String[] args) throws Exception {
        World world = new World(args[0]);
        int late = 0;
        try (world) {
            for (int i = 1; i <= 3; i++) {
                Target t = new Target(world, "i-" + i, "s-1", 20);
                world.targets.add(t);
                t.register();
            }
            world.heartbeats();
            List<String[]> routes = new ArrayList<>();
            routes.add(new String[] {"r-0", "/r0/", "safe", "1000", "s-1"});
            world.store.put("keyed.op", "config", World.config(3, routes, "s-1"));
            Link[] links = new Link[4];
            int[] ports = new int[4];
            for (int i = 0; i < 4; i++) {
                links[i] = new Link(world.store.portFor("front-" + (i + 1)));
                ports[i] = links[i].port;
            }
            world.startFronts(ports);
            Front reader = Collections.min(world.fronts.subList(0, 3), Comparator.comparing(Front::controlAddress));
            Link link = links[world.fronts.indexOf(reader)];
            world.note("the seed with the first address is " + reader.name);
            World.pause(STABILITY_MS + 1_000);
            int version = 3;
            for (int round = 1; round <= ROUNDS; round++) {
                // Two changes, 0.34 s apart, as in a storm; the partition begins between them.
                awaitNextRead(world, reader, -320);
                routes.add(new String[] {"r-a" + round, "/a" + round + "/", "safe", "1000", "s-1"});
                world.store.put("keyed.op", "config", World.config(version += 2, routes, "s-1"));
                awaitNextRead(world, reader, 15);
                if (world.trouble) {
                    link.cut();
                    world.note(reader.name + " is partitioned from the store");
                }
                long cutAt = System.nanoTime();
                World.pause(5);
                String prefix = "/r" + round + "/";
                routes.add(new String[] {"r-" + round, prefix, "safe", "1000", "s-1"});
                long acked = world.store.put("keyed.op", "config", World.config(version += 2, routes, "s-1"));
                world.note("the store accepted version " + version + " with the new route " + prefix);
                late += ask(world, reader, prefix, acked, round);
                long left = CUT_MS - (System.nanoTime() - cutAt) / 1_000_000L;
                World.pause(Math.max(0, left));
                if (world.trouble) {
                    link.heal();
                    world.note("the partition ended");
                }
                World.pause(STABILITY_MS + 1_200);
            }
        } catch (IllegalStateException e) {
            world.note("could not run: " + e.getMessage());
            System.exit(2);
        }
        world.note(late + " requests sent later than 2 s after the ack were refused with 404");
        System.out.println(late + " late refusals");
        System.exit(late > 0 ? 1 : 0);
    }

    /** Waits until [offset] ms after the read of the targets that the instance will make next. */
    private static void awaitNextRead(World world, Front reader, long offset) {
        String key = reader.name + " keyed.servers";
        long due = world.store.lastRead.get(key) + (900 + offset) * 1_000_000L;
        if (offset > 0) {
            long before = world.store.lastRead.get(key);
            while (world.store.lastRead.get(key) == before) World.pause(1);
            due = world.store.lastRead.get(key) + offset * 1_000_000L;
        }
        while (System.nanoTime() < due) World.pause(1);
    }

    /** Requests to the instances that are in touch, from 1 s until 3 s after the ack. */
    private static int ask(World world, Front cut, String prefix, long acked, int round) {
        int late = 0;
        int n = 0;
        long sent;
        while ((sent = (System.nanoTime() - acked) / 1_000_000L) < 3_000) {
            for (Front front : world.fronts) {
                if (front == cut || sent < 1_000) continue;
                sent = (System.nanoTime() - acked) / 1_000_000L;
                String id = "q-" + round + "-" + (++n);
                Http.Result result = Http.send(front.callers, "GET", prefix + n, null, 3000,
                    "Host", "app.example", "Wisteriahinge-Request-Id", id, "Wisteriahinge-Deadline-Ms", "2000");
                if (result.status != 200) {
                    world.note("request " + id + " to " + front.name + ", sent " + sent + " ms after the ack: " + result);
                }
                if (result.status == 404 && sent > CONFIG_APPLY_MS) late++;
            }
            World.pause(20);
        }
        return late;
    }
}
