import java.io.*;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.*;

/** The platform's store: keyed topics with one partition, as PROTOCOL.md describes them. */
final class Store {
    private static final class Rec {
        final long offset;
        final String key;
        final byte[] value;

        Rec(long offset, String key, byte[] value) {
            this.offset = offset;
            this.key = key;
            this.value = value;
        }
    }

    private static final class Topic {
        final List<Rec> records = new ArrayList<>();
        final Map<String, Rec> newest = new LinkedHashMap<>();
    }

    private final Map<String, Topic> topics = new HashMap<>();
    final int port;

    /** When each reader last asked for each topic, by the name of its port and of the topic. */
    final Map<String, Long> lastRead = new java.util.concurrent.ConcurrentHashMap<>();

    Store() throws IOException {
        port = portFor("all");
    }

    /** Another port of this store, for one reader. */
    int portFor(String reader) throws IOException {
        return Http.serve((request, socket, out) -> {
            if (request.path().startsWith("/api/log-read")) {
                lastRead.put(reader + " " + request.query("topic"), System.nanoTime());
            }
            return handle(request, socket, out);
        }).getLocalPort();
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, n -> new Topic());
    }

    /** Appends a record and returns when it is accepted: its time is that of the ack. */
    synchronized long put(String name, String key, String value) {
        byte[] bytes = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
        append(name, key, bytes);
        return System.nanoTime();
    }

    private synchronized void append(String name, String key, byte[] value) {
        Topic topic = topic(name);
        Rec rec = new Rec(topic.records.size(), key, value);
        topic.records.add(rec);
        if (value.length == 0) topic.newest.remove(key); else topic.newest.put(key, rec);
        notifyAll();
    }

    private boolean handle(Http.Request request, java.net.Socket socket, OutputStream out) throws Exception {
        Thread.sleep(4);
        switch (request.path()) {
            case "/api/log-newest":
                Http.answer(out, 200, "application/json", newest(request.query("topic")));
                return true;
            case "/api/log-read":
                Http.answer(out, 200, "application/octet-stream", read(request));
                return true;
            case "/api/log-append":
                Http.answer(out, 200, "application/json", appended(request));
                return true;
            case "/api/log-join":
                Http.answer(out, 200, "application/json", "{\"generation\":1,\"ttlMs\":3000,\"parts\":[]}".getBytes());
                return true;
            default:
                Http.answer(out, 200, "application/json", "{}".getBytes());
                return true;
        }
    }

    private synchronized byte[] newest(String name) {
        Topic topic = topic(name);
        StringJoiner items = new StringJoiner(",");
        for (Rec r : topic.newest.values()) {
            items.add("{\"key\":\"" + r.key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(r.value)
                + "\",\"offset\":" + r.offset + "}");
        }
        return ("{\"items\":[" + items + "],\"hasMore\":false,\"end\":" + topic.records.size() + "}")
            .getBytes(StandardCharsets.UTF_8);
    }

    private synchronized byte[] read(Http.Request request) throws Exception {
        Topic topic = topic(request.query("topic"));
        int from = Integer.parseInt(request.query("from"));
        String wait = request.query("waitMs");
        long until = System.nanoTime() + (wait == null ? 0 : Long.parseLong(wait)) * 1_000_000L;
        while (topic.records.size() <= from) {
            long left = (until - System.nanoTime()) / 1_000_000L;
            if (left <= 0) break;
            wait(left);
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream data = new DataOutputStream(bytes);
        data.writeLong(topic.records.size());
        data.writeLong(0);
        for (Rec r : topic.records.subList(Math.min(from, topic.records.size()), topic.records.size())) {
            byte[] key = r.key.getBytes(StandardCharsets.UTF_8);
            data.writeInt(1 + key.length + r.value.length);
            data.writeByte(key.length);
            data.write(key);
            data.write(r.value);
        }
        return bytes.toByteArray();
    }

    private byte[] appended(Http.Request request) {
        String name = request.query("topic");
        ByteBuffer body = ByteBuffer.wrap(request.body);
        while (body.hasRemaining()) {
            byte[] record = new byte[body.getInt()];
            body.get(record);
            int keyLength = record[0] & 0xff;
            String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
            append(name, key, Arrays.copyOfRange(record, 1 + keyLength, record.length));
        }
        synchronized (this) {
            int end = topic(name).records.size();
            return ("{\"offset\":" + (end - 1) + ",\"end\":" + end + "}").getBytes();
        }
    }
}
