import java.io.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/** A small deployment: a store, targets and instances, and the record of what happened. */
final class World implements AutoCloseable {
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Store store = new Store();
    final List<Target> targets = new CopyOnWriteArrayList<>();
    final List<Front> fronts = new ArrayList<>();
    final Map<String, List<String>> runs = new ConcurrentHashMap<>();
    private final long started = System.nanoTime();
    private final PrintWriter record;
    final Path logs;

    World(String folder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")));
        logs = Files.createTempDirectory("review-case");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    long millis(long nanos) {
        return (nanos - started) / 1_000_000L;
    }

    synchronized void note(String text) {
        record.printf("%7d ms  %s%n", millis(System.nanoTime()), text);
        record.flush();
    }

    void ran(String id, Target target) {
        runs.computeIfAbsent(id, k -> new CopyOnWriteArrayList<>()).add(target.id);
    }

    /** Targets repeat their entries every 1.5 s. */
    void heartbeats() {
        Thread t = new Thread(() -> {
            while (true) {
                for (Target target : targets) {
                    if (target.state != null) target.register();
                    pause(1500 / Math.max(1, targets.size()));
                }
            }
        });
        t.setDaemon(true);
        t.start();
    }

    /** Starts instances that use these ports as their store; the first three are the seeds. */
    void startFronts(int... storePorts) throws Exception {
        for (int i = 0; i < storePorts.length; i++) {
            fronts.add(new Front("front-" + (i + 1), storePorts[i], logs.resolve("front-" + (i + 1) + ".log")));
        }
        String seeds = seeds();
        for (Front front : fronts) front.start(seeds);
        long until = System.nanoTime() + 30_000_000_000L;
        for (Front front : fronts) {
            while (!front.isReady()) {
                if (System.nanoTime() > until) throw new IllegalStateException(front.name + " is not ready");
                pause(100);
            }
        }
        note("all instances are ready");
    }

    String seeds() {
        StringJoiner seeds = new StringJoiner(",");
        fronts.stream().limit(3).forEach(f -> seeds.add(f.controlAddress()));
        return seeds.toString();
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A configuration of routes `name prefix kind timeoutMs service`. */
    static String config(int version, List<String[]> routes, String... services) {
        StringJoiner rows = new StringJoiner(",");
        for (String[] r : routes) {
            rows.add("[\"" + r[0] + "\",\"app.example\",\"" + r[1] + "\",\"" + r[2] + "\"," + r[3]
                + ",250,1,null,2,\"" + r[4] + "\"]");
        }
        StringJoiner known = new StringJoiner(",");
        for (String s : services) known.add("[\"" + s + "\",\"/health\",260,\"h1\",false]");
        return "{\"version\":" + version + ",\"routes\":{\"columns\":[\"name\",\"host\",\"pathPrefix\",\"kind\","
            + "\"timeoutMs\",\"sloMs\",\"priority\",\"backends\",\"maxAttempts\",\"service\"],\"rows\":[" + rows
            + "]},\"services\":{\"columns\":[\"name\",\"healthPath\",\"maxConns\",\"protocol\",\"tls\"],\"rows\":["
            + known + "]},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000}}";
    }

    @Override public void close() {
        for (Front front : fronts) {
            if (front.process != null) front.process.destroyForcibly();
        }
    }
}
