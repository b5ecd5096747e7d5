import java.io.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * One seed stands still while targets are replaced one after the other. The other instances, which
 * nothing disturbs, must send a draining target nothing 2 s after the store accepted its report.
 */
public final class SeedFreeze {
    private static final int ROUNDS = 11;
    private static final int TARGETS = 18;
    private static final int RELEASED = 8;
    private static final long DRAIN_MS = 2_000;
    private static final long FREEZE_MS = 4_000;
    private static final long STABILITY_MS = 3_000;

    /** A target that counts the requests that reach it too late after its report. */
    private static final class Draining extends Target {
        volatile long acked;

        Draining(World world, String id, String service) throws IOException {
            super(world, id, service, 25);
        }

        void drain() {
            state = "draining";
            acked = register();
            world.note("the store accepted that " + id + " is draining");
        }

        @Override boolean handle(Http.Request request, java.net.Socket socket, OutputStream out) throws Exception {
            long since = (System.nanoTime() - acked) / 1_000_000L;
            // Health checks and requests that get 421 do not count.
            if (acked != 0 && since > DRAIN_MS && id.equals(request.header("Wisteriahinge-Expect-Instance"))) {
                late.incrementAndGet();
                world.note("request " + request.header("Wisteriahinge-Request-Id") + " reaches " + id + " "
                    + since + " ms after the ack");
            }
            return super.handle(request, socket, out);
        }
    }

    private static final AtomicInteger late = new AtomicInteger();
    private static final AtomicInteger served = new AtomicInteger();
    private static volatile Front frozen;
    private static volatile boolean stopped;

    public static void main(String[] args) throws Exception {
        World world = new World(args[0]);
        try (world) {
            int next = 0;
            List<Deque<Draining>> active = List.of(new ArrayDeque<>(), new ArrayDeque<>());
            for (; next < 2 * TARGETS; next++) active.get(next % 2).add(start(world, next));
            world.heartbeats();
            List<String[]> routes = new ArrayList<>();
            for (int i = 0; i < 2; i++) routes.add(new String[] {"r-" + i, "/r" + i + "/", "safe", "1000", "s-" + i});
            world.store.put("keyed.op", "config", World.config(3, routes, "s-0", "s-1"));
            int p = world.store.port;
            world.startFronts(p, p, p, p);
            Front reader = Collections.min(world.fronts.subList(0, 3), Comparator.comparing(Front::controlAddress));
            world.note("the seed with the first address is " + reader.name);
            for (Front front : world.fronts) {
                if (front != reader) for (int i = 0; i < 8; i++) caller(world, front, i);
            }
            World.pause(STABILITY_MS + 1_000);
            for (int round = 1; round <= ROUNDS; round++) {
                if (world.trouble) {
                    reader.signal("STOP");
                    world.note(reader.name + " stands still");
                }
                // As a release with x = 2, gap_s = 1 and share = 0.45 of each service: 8 targets in 4 s.
                for (int step = 0; step < 2 * RELEASED; step++) {
                    Deque<Draining> service = active.get(next % 2);
                    Draining old = service.poll();
                    service.add(start(world, next++));
                    old.drain();
                    World.pause(FREEZE_MS / (2 * RELEASED));
                }
                if (world.trouble) {
                    reader.signal("CONT");
                    world.note(reader.name + " goes on");
                }
                World.pause(STABILITY_MS + 1_500);
            }
            stopped = true;
        } catch (IllegalStateException e) {
            world.note("could not run: " + e.getMessage());
            System.exit(2);
        }
        world.note(served + " requests served, " + late + " reached a target later than 2 s after the ack of its report");
        System.out.println(late + " late requests of " + served);
        System.exit(late.get() > 0 ? 1 : 0);
    }

    /** Starts a target; it leaves some seconds after its drain. */
    private static Draining start(World world, int number) throws IOException {
        Draining target = new Draining(world, "i-" + number, "s-" + number % 2);
        target.register();
        world.targets.add(target);
        Thread t = new Thread(() -> {
            while (target.acked == 0) World.pause(20);
            World.pause(DRAIN_MS + 3_000);
            world.targets.remove(target);
            target.state = null;
            world.store.put("keyed.servers", target.id, null);
        });
        t.setDaemon(true);
        t.start();
        return target;
    }

    private static void caller(World world, Front front, int number) {
        Thread t = new Thread(() -> {
            for (int n = 0; !stopped; n++) {
                Http.Result r = Http.send(front.callers, "GET", "/r" + number % 2 + "/" + n, null, 3000, "Host", "app.example",
                    "Wisteriahinge-Request-Id", front.name + "-" + number + "-" + n, "Wisteriahinge-Deadline-Ms", "2000");
                if (r.status == 200) served.incrementAndGet();
                World.pause(20);
            }
        });
        t.setDaemon(true);
        t.start();
    }
}
