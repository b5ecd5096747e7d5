import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in for a target, as PROTOCOL.md describes it: slots, a short queue, its load in a header,
 * and its id, without which it runs nothing. While it is cold, work takes twice as long.
 */
final class Target implements AutoCloseable {
    /** A request that reached this target and that it did not turn away. */
    record Arrival(String target, String id, String tenant, long atNanos, boolean cold) {}

    volatile int maxQueued = 12;

    /** One incarnation. */
    private static final class Life {
        final Semaphore free;
        final AtomicInteger running = new AtomicInteger();
        final AtomicInteger waiting = new AtomicInteger();

        Life(int slots) {
            free = new Semaphore(slots, true);
        }
    }

    final String id;
    final String service;
    final String zone;
    final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    final int slots;
    private final long workMillis;
    /** The requests that this target began to work on. */
    final Queue<Arrival> runs = new ConcurrentLinkedQueue<>();
    private volatile Life life;
    private final ExecutorService pool = Executors.newCachedThreadPool(Rig.daemons("target"));
    private HttpServer server;
    private int port;
    volatile long coldUntilNanos = Long.MIN_VALUE;
    volatile long born = System.currentTimeMillis();
    private volatile long seq;
    private volatile Runnable onArrival = () -> {};

    Target(String id, String service, String zone, int slots, long workMillis) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.workMillis = workMillis;
        life = new Life(slots);
        listen(0);
    }

    void onArrival(Runnable action) {
        onArrival = action;
    }

    private void listen(int atPort) throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", atPort), 512);
        server.setExecutor(pool);
        server.createContext("/", this::serve);
        server.start();
        port = server.getAddress().getPort();
    }

    boolean isCold() {
        return coldUntilNanos != Long.MIN_VALUE && System.nanoTime() < coldUntilNanos;
    }

    /** Ends as a process does that is killed: all channels are closed, nothing listens. */
    void end() {
        server.stop(0);
    }

    /** Starts anew at the same address, under the same id, cold for the time given. */
    void startCold(long coldMillis) throws IOException {
        born = System.currentTimeMillis();
        seq = 0;
        life = new Life(slots);
        coldUntilNanos = System.nanoTime() + coldMillis * 1_000_000L;
        listen(port);
    }

    /** The entry that this target writes to the store next. */
    String entry(String state) {
        long left = isCold() ? (coldUntilNanos - System.nanoTime()) / 1_000_000L : 0;
        return "{\"address\":\"127.0.0.1:" + port + "\",\"info\":{\"service\":\"" + service
            + "\",\"version\":\"v1\",\"zone\":\"" + zone + "\",\"slots\":" + slots
            + "},\"status\":{\"state\":\"" + state + "\",\"seq\":" + ++seq
            + ",\"warmupLeftMs\":" + left + "},\"born\":" + born + "}";
    }

    private void serve(HttpExchange exchange) throws IOException {
        long at = System.nanoTime();
        Life life = this.life;
        Headers in = exchange.getRequestHeaders();
        Headers out = exchange.getResponseHeaders();
        out.set("Wisteriahinge-Instance-Id", id);
        try {
            if (exchange.getRequestURI().getPath().equals("/health")) {
                addLoad(out, life);
                if (isCold()) {
                    long left = (coldUntilNanos - System.nanoTime()) / 1_000_000L;
                    out.set("Wisteriahinge-Warmup-Ms", Long.toString(Math.max(0, left)));
                }
                answer(exchange, 200, "");
                return;
            }
            String requestId = in.getFirst("Wisteriahinge-Request-Id");
            String expected = in.getFirst("Wisteriahinge-Expect-Instance");
            if (requestId != null) out.set("Wisteriahinge-Request-Id", requestId);
            if (expected != null && !expected.equals(id)) {
                answer(exchange, 421, "");
                return;
            }
            exchange.getRequestBody().readAllBytes();
            String tenant = in.getFirst("Wisteriahinge-Tenant");
            Arrival arrival = new Arrival(id, requestId, tenant, at, isCold());
            arrivals.add(arrival);
            onArrival.run();
            work(exchange, out, arrival, life);
        } catch (InterruptedException e) {
            exchange.close();
        }
    }

    private void work(HttpExchange exchange, Headers out, Arrival arrival, Life life)
        throws IOException, InterruptedException {
        if (!life.free.tryAcquire()) {
            if (life.waiting.incrementAndGet() > maxQueued) {
                life.waiting.decrementAndGet();
                out.set("Wisteriahinge-Not-Executed", "1");
                addLoad(out, life);
                answer(exchange, 503, "");
                return;
            }
            life.free.acquire();
            life.waiting.decrementAndGet();
        }
        runs.add(arrival);
        life.running.incrementAndGet();
        try {
            Thread.sleep(isCold() ? 2 * workMillis : workMillis);
        } finally {
            life.running.decrementAndGet();
            life.free.release();
        }
        addLoad(out, life);
        out.set("Wisteriahinge-Server-Stamp", "stamp." + id + "." + arrival.id);
        answer(exchange, 200, "answer to " + arrival.id);
    }

    private void addLoad(Headers out, Life life) {
        out.set("Wisteriahinge-Server-Load",
            life.running.get() + "," + life.waiting.get() + "," + slots + ",100");
    }

    private static void answer(HttpExchange exchange, int status, String text) throws IOException {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) exchange.getResponseBody().write(body);
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
        pool.shutdownNow();
    }
}
