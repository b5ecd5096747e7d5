import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A target that writes its answers byte by byte. On some channels it sends additional bytes after a
 * complete answer: a status line that it breaks off, which arrives where the next answer is expected.
 */
final class RawTarget implements AutoCloseable {
    final String id;
    final String service;
    /** The status that this target gave, for each request that it ran. */
    final Map<String, Integer> answered = new ConcurrentHashMap<>();
    final AtomicInteger strays = new AtomicInteger();
    /** Whether this target may fail requests now. */
    volatile boolean mayFail;
    /** Whether it sends additional bytes now. */
    volatile boolean isFaulty;
    private final Rig rig;
    private final ServerSocket server = new ServerSocket();
    private final int slots;
    private final long workMillis;
    private final double failureShare;
    private final double strayShare;
    private final byte[] stray;
    private final boolean isBeforeFailures;
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicLong requests = new AtomicLong();
    private final AtomicLong failures = new AtomicLong();
    private final AtomicLong faultyRequests = new AtomicLong();
    private long seq;

    RawTarget(Rig rig, String id, String service, int slots, long workMillis, double failureShare,
        double strayShare, String stray, boolean isBeforeFailures) throws IOException {
        this.rig = rig;
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.workMillis = workMillis;
        this.failureShare = failureShare;
        this.strayShare = strayShare;
        this.stray = stray.getBytes(StandardCharsets.ISO_8859_1);
        this.isBeforeFailures = isBeforeFailures;
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
        Rig.thread("raw-target", () -> {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    Rig.thread("raw-channel", () -> serve(socket));
                } catch (IOException e) {
                    // It was closed.
                }
            }
        });
    }

    String entry() {
        return "{\"address\":\"127.0.0.1:" + server.getLocalPort() + "\",\"info\":{\"service\":\""
            + service + "\",\"version\":\"v1\",\"zone\":\"a\",\"slots\":" + slots
            + "},\"status\":{\"state\":\"ready\",\"seq\":" + ++seq + ",\"warmupLeftMs\":0},\"born\":1}";
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (int served = 0; ; served++) {
                Map<String, String> head = readHead(in);
                if (head == null) return;
                in.readNBytes(Integer.parseInt(head.getOrDefault("content-length", "0")));
                answer(out, head, served > 0);
            }
        } catch (IOException | InterruptedException e) {
            // The channel was closed.
        }
    }

    private static Map<String, String> readHead(InputStream in) throws IOException {
        Map<String, String> head = new HashMap<>();
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b != '\n') {
                if (b != '\r') line.write(b);
                continue;
            }
            String text = line.toString(StandardCharsets.ISO_8859_1);
            line.reset();
            if (text.isEmpty()) return head;
            int colon = text.indexOf(':');
            if (head.isEmpty()) head.put("line", text);
            else head.put(text.substring(0, colon).toLowerCase(), text.substring(colon + 1).trim());
        }
        return null;
    }

    private void answer(OutputStream out, Map<String, String> head, boolean isReused)
        throws IOException, InterruptedException {
        if (head.get("line").startsWith("GET /health ")) {
            write(out, "200 OK", "Wisteriahinge-Instance-Id: " + id + "\r\n", "");
            return;
        }
        String requestId = head.get("wisteriahinge-request-id");
        String echo = "Wisteriahinge-Request-Id: " + requestId + "\r\n";
        if (!id.equals(head.get("wisteriahinge-expect-instance"))) {
            write(out, "421 Misdirected Request", echo, "");
            return;
        }
        running.incrementAndGet();
        Thread.sleep(workMillis);
        running.decrementAndGet();
        long count = requests.incrementAndGet();
        if (isFaulty) faultyRequests.incrementAndGet();
        boolean hasStray = isFaulty && strays.get() + 1 <= strayShare * faultyRequests.get();
        boolean fails = mayFail && isReused && failures.get() + 1 <= failureShare * count
            && (hasStray || !isFaulty);
        if (fails) failures.incrementAndGet();
        if (hasStray && isReused && fails == isBeforeFailures) {
            strays.incrementAndGet();
            rig.note("target " + id + " sends a broken-off second answer to an earlier request"
                + " before its answer to " + requestId);
            out.write(stray);
            out.flush();
        }
        answered.put(requestId, fails ? 500 : 200);
        rig.note("target " + id + " ran " + requestId + " and answers " + (fails ? 500 : 200));
        String stamp = echo + "Wisteriahinge-Server-Stamp: stamp." + id + "." + requestId + "\r\n";
        if (fails) write(out, "500 Internal Server Error", stamp, "the booking failed");
        else write(out, "200 OK", stamp, "booked " + requestId);
    }

    private void write(OutputStream out, String status, String fields, String body)
        throws IOException {
        out.write(("HTTP/1.1 " + status + "\r\n" + fields + "Wisteriahinge-Server-Load: "
            + running.get() + ",0," + slots + ",100\r\nContent-Length: " + body.length()
            + "\r\n\r\n" + body).getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
