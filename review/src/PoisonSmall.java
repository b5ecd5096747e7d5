import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * A few requests end each target that begins to run them, and come again. Their service has as many
 * targets as an instance asks for witnesses besides the one that ended. Each of the requests may reach
 * targets three times more, at most, later than 3 s after it has ended the third.
 */
public final class PoisonSmall {
    private static final int TARGETS = 4;
    private static final int REQUESTS = 5;
    private static final long GAP_MS = 200;
    private static final long LENGTH_MS = 60_000;
    private static final long STABILITY_MS = 3_000;
    private static final int MAX_LATE = 3;

    private static final Map<String, List<Long>> crashes = new ConcurrentHashMap<>();
    private static volatile boolean stopped;

    /** A target that ends when it begins to run one of the requests; it is back after 2 to 4 s. */
    private static final class Mortal extends Target {
        private final int number;
        private final int port;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        private ServerSocket server;
        private volatile String id;
        private volatile boolean alive;
        private int starts;

        Mortal(World world, int number) throws IOException {
            super(world, "unused", "s-1", 30);
            this.number = number;
            port = Front.freePort();
            start();
        }

        private synchronized void start() throws IOException {
            id = "i-" + number + "-" + (++starts);
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(Http.LOOPBACK, port), 512);
            alive = true;
            ServerSocket mine = server;
            Thread t = new Thread(() -> accept(mine));
            t.setDaemon(true);
            t.start();
            register();
            world.note("target " + id + " starts");
        }

        private void accept(ServerSocket mine) {
            while (!mine.isClosed()) {
                try {
                    Socket socket = mine.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    Thread t = new Thread(() -> serve(socket));
                    t.setDaemon(true);
                    t.start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                Http.serveOn(socket, this::handleAs);
            } catch (IOException e) {
                // Closed already.
            } finally {
                sockets.remove(socket);
            }
        }

        private boolean handleAs(Http.Request request, Socket socket, OutputStream out) throws Exception {
            String own = id;
            if (request.path().equals("/health")) {
                Http.answer(out, 200, null, new byte[0], "Wisteriahinge-Instance-Id", own,
                    "Wisteriahinge-Server-Load", running.get() + ",0," + SLOTS);
                return true;
            }
            String rid = request.header("Wisteriahinge-Request-Id");
            if (!own.equals(request.header("Wisteriahinge-Expect-Instance"))) {
                Http.answer(out, 421, null, new byte[0], "Wisteriahinge-Request-Id", rid,
                    "Wisteriahinge-Instance-Id", own);
                return true;
            }
            if (request.target.startsWith("/r0/fatal/")) {
                crash(request.target, own);
                return false;
            }
            running.incrementAndGet();
            try {
                Thread.sleep(workMs);
                Http.answer(out, 200, "text/plain", ("done " + rid).getBytes(), "Wisteriahinge-Request-Id", rid,
                    "Wisteriahinge-Server-Stamp", own + "." + rid, "Wisteriahinge-Server-Load", running.get() + ",0," + SLOTS);
                return true;
            } finally {
                running.decrementAndGet();
            }
        }

        /** The process ends: its port closes and its connections are reset. */
        private synchronized void crash(String path, String own) throws IOException {
            if (!alive || !own.equals(id)) return;
            alive = false;
            crashes.computeIfAbsent(path, k -> new CopyOnWriteArrayList<>()).add(System.nanoTime());
            world.note("target " + id + " begins to run " + path + " and ends");
            server.close();
            for (Socket socket : sockets) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            Thread t = new Thread(() -> {
                World.pause(2_000 + ThreadLocalRandom.current().nextInt(2_000));
                try {
                    start();
                } catch (IOException e) {
                    world.note("target " + number + " cannot start: " + e.getMessage());
                }
            });
            t.setDaemon(true);
            t.start();
        }

        @Override long register() {
            if (!alive) return 0;
            String entry = "{\"address\":\"127.0.0.1:" + port + "\",\"born\":" + System.currentTimeMillis()
                + ",\"info\":{\"service\":\"s-1\",\"version\":\"v1\",\"zone\":\"a\",\"slots\":" + SLOTS
                + "},\"status\":{\"state\":\"ready\",\"seq\":" + seq.incrementAndGet() + ",\"warmupLeftMs\":0}}";
            return world.store.put("keyed.servers", id, entry);
        }
    }

    public static void main(String[] args) throws Exception {
        World world = new World(args[0]);
        int worst = 0;
        try (world) {
            for (int i = 1; i <= TARGETS; i++) world.targets.add(new Mortal(world, i));
            for (int i = 1; i <= 4; i++) {
                Target healthy = new Target(world, "h-" + i, "s-2", 30);
                world.targets.add(healthy);
                healthy.register();
            }
            world.heartbeats();
            List<String[]> routes = new ArrayList<>();
            routes.add(new String[] {"r-0", "/r0/", "safe", "1000", "s-1"});
            routes.add(new String[] {"r-1", "/r1/", "safe", "1000", "s-2"});
            world.store.put("keyed.op", "config", World.config(3, routes, "s-1", "s-2"));
            int p = world.store.port;
            world.startFronts(p, p, p);
            World.pause(STABILITY_MS + 1_000);
            List<Thread> callers = new ArrayList<>();
            AtomicInteger[] others = {new AtomicInteger(), new AtomicInteger()};
            for (int i = 0; i < 4; i++) callers.add(caller(world, "/r0/fair/" + i, i, 100, others));
            if (world.trouble) {
                for (int i = 0; i < REQUESTS; i++) callers.add(caller(world, "/r0/fatal/" + i, 10 + i, GAP_MS, null));
            }
            World.pause(LENGTH_MS);
            stopped = true;
            for (Thread t : callers) t.join(4_000);
            for (Map.Entry<String, List<Long>> e : new TreeMap<>(crashes).entrySet()) {
                List<Long> at = e.getValue();
                long third = at.size() < 3 ? Long.MAX_VALUE : at.get(2) + STABILITY_MS * 1_000_000L;
                int late = (int) at.stream().filter(t -> t > third).count();
                worst = Math.max(worst, late);
                world.note(e.getKey() + " ended " + at.size() + " targets, " + late + " of them later than 3 s after the third");
                System.out.println(e.getKey() + " ended " + at.size() + " targets, " + late + " late");
            }
            world.note("other requests: " + others[0] + " served, " + others[1] + " not");
            System.out.println("other requests: " + others[0] + " served, " + others[1] + " not");
        } catch (IllegalStateException e) {
            world.note("could not run: " + e.getMessage());
            System.exit(2);
        }
        System.exit(worst > MAX_LATE ? 1 : 0);
    }

    private static Thread caller(World world, String path, int number, long gapMs, AtomicInteger[] counts) {
        Thread t = new Thread(() -> {
            Random random = new Random(number);
            for (int n = 0; !stopped; n++) {
                Front front = world.fronts.get(random.nextInt(world.fronts.size()));
                Http.Result r = Http.send(front.callers, "GET", path, null, 3000, "Host", "app.example",
                    "Wisteriahinge-Request-Id", "c" + number + "-" + n, "Wisteriahinge-Deadline-Ms", "2000");
                if (counts == null) {
                    world.note("request c" + number + "-" + n + " " + path + " at " + front.name + ": " + r);
                } else {
                    counts[r.status == 200 ? 0 : 1].incrementAndGet();
                }
                World.pause(gapMs);
            }
        });
        t.setDaemon(true);
        t.start();
        return t;
    }
}
