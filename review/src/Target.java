import java.io.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** A target: it runs requests that name it, three at a time, and registers itself in the store. */
class Target {
    static final int SLOTS = 3;
    final String id, service;
    final World world;
    final int port;
    final long workMs;
    final AtomicInteger running = new AtomicInteger();
    final AtomicInteger seq = new AtomicInteger();
    final long born = System.currentTimeMillis();
    volatile String state = "ready";

    Target(World world, String id, String service, long workMs) throws IOException {
        this.world = world;
        this.id = id;
        this.service = service;
        this.workMs = workMs;
        port = Http.serve(this::handle).getLocalPort();
    }

    String entry() {
        return "{\"address\":\"127.0.0.1:" + port + "\",\"born\":" + born + ",\"info\":{\"service\":\"" + service
            + "\",\"version\":\"v1\",\"zone\":\"a\",\"slots\":" + SLOTS + "},\"status\":{\"state\":\"" + state
            + "\",\"seq\":" + seq.incrementAndGet() + ",\"warmupLeftMs\":0}}";
    }

    long register() {
        return world.store.put("keyed.servers", id, entry());
    }

    boolean handle(Http.Request request, java.net.Socket socket, OutputStream out) throws Exception {
        String load = running.get() + ",0," + SLOTS;
        if (request.path().equals("/health")) {
            Http.answer(out, 200, null, new byte[0], "Wisteriahinge-Instance-Id", id, "Wisteriahinge-Server-Load", load);
            return true;
        }
        String rid = request.header("Wisteriahinge-Request-Id");
        if (!id.equals(request.header("Wisteriahinge-Expect-Instance"))) {
            Http.answer(out, 421, null, new byte[0], "Wisteriahinge-Request-Id", rid, "Wisteriahinge-Instance-Id", id);
            return true;
        }
        if (running.incrementAndGet() > SLOTS) {
            running.decrementAndGet();
            Http.answer(out, 503, null, new byte[0], "Wisteriahinge-Request-Id", rid,
                "Wisteriahinge-Not-Executed", "1", "Wisteriahinge-Server-Load", load);
            return true;
        }
        try {
            world.note("target " + id + " runs " + rid + " " + request.method + " " + request.target);
            world.ran(rid, this);
            Thread.sleep(workMs);
            Http.answer(out, 200, "text/plain", ("done " + rid).getBytes(), "Wisteriahinge-Request-Id", rid,
                "Wisteriahinge-Server-Stamp", id + "." + rid, "Wisteriahinge-Server-Load", load);
            return true;
        } finally {
            running.decrementAndGet();
        }
    }
}
