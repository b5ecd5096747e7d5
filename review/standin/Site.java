import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** A small installation on loopback addresses: store, targets, machines, and consumers. */
final class Site implements AutoCloseable {
    static final String HOST = "jepu9.example";
    static final String PREFIX = "/lepu270/";

    final Rig rig = new Rig();
    final Store store = new Store();
    final List<Target> targets = new ArrayList<>();
    final List<Front> fronts = new ArrayList<>();
    final Queue<Rig.Sent> sent = new ConcurrentLinkedQueue<>();
    private final Path repository;
    private final Path logs = Files.createTempDirectory("review-case");
    private final ExecutorService consumers = Executors.newCachedThreadPool(Rig.daemons("consumer"));
    private volatile boolean isOpen = true;
    String method = "GET";

    Site(Path repository) throws IOException {
        this.repository = repository;
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    Target addTarget(String id, String service, String zone, int slots, long workMillis)
        throws IOException {
        Target target = new Target(id, service, zone, slots, workMillis);
        targets.add(target);
        return target;
    }

    /** Adds a machine with the bounds of the site retseptiring-hq-grown; it is not started yet. */
    Front addFront(String zone, String storeAddress) throws IOException {
        int number = fronts.size() + 1;
        String name = "front-" + zone + "-" + number;
        Front front = new Front(repository, logs, name, zone, "127.0.1." + number, storeAddress);
        front.set("platform.parts", "12");
        front.set("bounds.configApplyMs", "2500");
        front.set("bounds.drainMs", "2500");
        front.set("bounds.revokeMs", "5000");
        front.set("limits.maxFds", "4100");
        front.set("bounds.graceS", "6");
        front.set("bounds.retryRatio", "0.2");
        front.set("bounds.budgetWindowS", "10");
        fronts.add(front);
        return front;
    }

    /** Writes a target's entry; the answer is the store's ack. */
    void register(Target target, String state) {
        store.put("keyed.servers", target.id, target.entry(state));
    }

    /** Each of the targets that `alive` gives writes its entry every 1.5 s (`heartbeatMs`). */
    void startBeats(Supplier<List<Target>> alive) {
        targets.forEach(target -> register(target, "ready"));
        Rig.thread("beats", () -> {
            while (isOpen) {
                sleep(1_500);
                for (Target target : alive.get()) register(target, "ready");
            }
        });
    }

    /** Starts all machines and waits until the platform finds each of them ready. */
    void startFronts() throws Exception {
        for (Front front : fronts) front.start();
        for (Front front : fronts) front.awaitReady(30_000);
        rig.say("all " + fronts.size() + " machines are ready");
    }

    /** The machines that take new channels, as the platform sees them once a second. */
    private volatile List<Front> rotation = List.of();

    void startRotation() {
        rotation = List.copyOf(fronts);
        Rig.thread("rotation", () -> {
            int[] misses = new int[fronts.size()];
            while (isOpen) {
                List<Front> next = new ArrayList<>();
                for (int i = 0; i < fronts.size(); i++) {
                    misses[i] = fronts.get(i).isReady() ? 0 : misses[i] + 1;
                    if (misses[i] < 2) next.add(fronts.get(i));
                }
                rotation = next;
                sleep(1_000);
            }
        });
    }

    /**
     * Consumers send `perSecond` requests for the time given, spread evenly over the machines in
     * rotation. Each consumer attempt has its own id.
     */
    void traffic(String tenant, String key, double perSecond, double seconds, int waitMillis)
        throws Exception {
        long start = System.nanoTime();
        Random random = new Random(7);
        long count = (long) (perSecond * seconds);
        for (long i = 0; i < count; i++) {
            long due = start + (long) ((i + random.nextDouble()) / perSecond * 1e9);
            long left = due - System.nanoTime();
            if (left > 0) TimeUnit.NANOSECONDS.sleep(left);
            List<Front> open = rotation;
            Front front = open.get((int) (i % open.size()));
            String id = tenant + "-" + System.nanoTime() % 100_000_000_000L + "-" + i;
            String head = method + " " + PREFIX + i + " HTTP/1.1\r\nHost: " + HOST + "\r\n"
                + (key == null ? "" : "Authorization: Bearer " + key + "\r\n");
            consumers.execute(
                () -> sent.add(rig.send(front.callers, head, id, tenant, null, waitMillis)));
        }
    }

    /** A config with one safe route to `service`; `tenants` are the rows of its tenants. */
    static String config(int version, String service, double warmupPerS, String tenants) {
        return "{\"version\":" + version + ",\"routes\":{\"columns\":[\"name\",\"host\","
            + "\"pathPrefix\",\"kind\",\"timeoutMs\",\"sloMs\",\"priority\",\"backends\","
            + "\"maxAttempts\",\"public\",\"service\"],\"rows\":[[\"r-2bjpu4p\",\"" + HOST + "\",\""
            + PREFIX + "\",\"safe\",3000,800,1,null,2,false,\"" + service + "\"]]},"
            + "\"services\":{\"columns\":[\"name\",\"healthPath\",\"maxConns\",\"protocol\",\"tls\","
            + "\"warmupS\",\"warmupPerS\"],\"rows\":[[\"" + service
            + "\",\"/health\",1220,\"h1\",false,3.0," + warmupPerS + "]]},"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}"
            + (tenants == null ? "" : ",\"tenants\":{\"columns\":[\"name\",\"apiKeys\",\"priority\","
                + "\"ratePerS\",\"burst\"],\"rows\":[" + tenants + "]}") + "}";
    }

    /** Notes what the targets ran. */
    void noteRuns() {
        for (Target target : targets) {
            for (Target.Arrival run : target.runs) {
                rig.note(run.atNanos(), "target " + run.target() + (run.cold() ? " (cold)" : "")
                    + " runs " + run.id() + " of " + run.tenant());
            }
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void endProcesses() {
        for (Front front : fronts) {
            try {
                front.close();
            } catch (Exception e) {
                System.out.println("cannot end " + front.name);
            }
        }
    }

    @Override
    public void close() {
        isOpen = false;
        endProcesses();
        consumers.shutdownNow();
        targets.forEach(Target::close);
        store.close();
    }

    /** Runs a case; exits with 1 if it was broken, 0 if it held and 2 if it could not run. */
    static void run(String[] args, Case body) {
        int code = 2;
        try (Site site = new Site(Path.of(args[0]).toAbsolutePath())) {
            boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
            try {
                code = body.isBroken(site, hasTrouble) ? 1 : 0;
            } finally {
                site.rig.write(Path.of(args[1], "record.txt"));
                System.out.println("logs of the machines: " + site.logs);
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    /** What a case does and checks. */
    interface Case {
        boolean isBroken(Site site, boolean hasTrouble) throws Exception;
    }
}
