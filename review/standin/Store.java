import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/**
 * A stand-in for the platform's store: keyed topics of one partition, in memory. It implements the
 * calls that instances make, as PROTOCOL.md describes them, and is never disturbed by itself.
 */
final class Store implements AutoCloseable {
    private record Entry(long offset, String key, byte[] value) {}

    private static final class Topic {
        final List<Entry> log = new ArrayList<>();
        final Map<String, Entry> newest = new LinkedHashMap<>();

        long add(String key, byte[] value) {
            Entry entry = new Entry(log.size(), key, value);
            log.add(entry);
            if (value.length == 0) newest.remove(key); else newest.put(key, entry);
            return entry.offset;
        }
    }

    private final Map<String, Topic> topics = new HashMap<>();
    private final HttpServer server;
    final String address;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 512);
        server.setExecutor(Executors.newCachedThreadPool(Rig.daemons("store")));
        server.createContext("/api/log-newest", this::newest);
        server.createContext("/api/log-read", this::read);
        server.createContext("/api/log-append", this::append);
        server.createContext("/", exchange -> answer(exchange, 404, new byte[0]));
        server.start();
        address = "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Appends a record; an empty value drops the key. Returns when the store has accepted it. */
    synchronized long put(String topic, String key, String value) {
        long offset = topic(topic).add(key, value.getBytes(StandardCharsets.UTF_8));
        notifyAll();
        return offset;
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, n -> new Topic());
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> all = new HashMap<>();
        String text = exchange.getRequestURI().getQuery();
        if (text == null) return all;
        for (String part : text.split("&")) {
            int at = part.indexOf('=');
            if (at > 0) all.put(part.substring(0, at), part.substring(at + 1));
        }
        return all;
    }

    private void newest(HttpExchange exchange) throws IOException {
        StringBuilder items = new StringBuilder();
        long end;
        synchronized (this) {
            Topic topic = topic(query(exchange).get("topic"));
            end = topic.log.size();
            for (Entry entry : topic.newest.values()) {
                if (items.length() > 0) items.append(',');
                items.append("{\"key\":\"").append(entry.key).append("\",\"value\":\"")
                    .append(Base64.getEncoder().encodeToString(entry.value))
                    .append("\",\"offset\":").append(entry.offset).append('}');
            }
        }
        String json = "{\"items\":[" + items + "],\"hasMore\":false,\"end\":" + end + "}";
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        answer(exchange, 200, json.getBytes(StandardCharsets.UTF_8));
    }

    private void read(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange);
        long from = Long.parseLong(query.get("from"));
        long until = System.nanoTime()
            + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000L;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        synchronized (this) {
            Topic topic = topic(query.get("topic"));
            while (topic.log.size() <= from) {
                long left = (until - System.nanoTime()) / 1_000_000L;
                if (left <= 0) break;
                try {
                    wait(left);
                } catch (InterruptedException e) {
                    break;
                }
            }
            out.writeLong(topic.log.size());
            out.writeLong(0);
            for (int i = (int) from; i < topic.log.size(); i++) {
                Entry entry = topic.log.get(i);
                byte[] key = entry.key.getBytes(StandardCharsets.UTF_8);
                out.writeInt(1 + key.length + entry.value.length);
                out.writeByte(key.length);
                out.write(key);
                out.write(entry.value);
            }
        }
        answer(exchange, 200, bytes.toByteArray());
    }

    private void append(HttpExchange exchange) throws IOException {
        String name = query(exchange).get("topic");
        ByteBuffer body = ByteBuffer.wrap(exchange.getRequestBody().readAllBytes());
        if (name.equals("keyed.op") || name.equals("keyed.servers")) {
            answer(exchange, 403, new byte[0]);
            return;
        }
        String json;
        synchronized (this) {
            Topic topic = topic(name);
            long first = topic.log.size();
            while (body.hasRemaining()) {
                byte[] record = new byte[body.getInt()];
                body.get(record);
                int keyLength = record[0] & 0xff;
                String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
                byte[] value = java.util.Arrays.copyOfRange(record, 1 + keyLength, record.length);
                topic.add(key, value);
            }
            json = "{\"offset\":" + first + ",\"end\":" + topic.log.size() + "}";
            notifyAll();
        }
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        answer(exchange, 200, json.getBytes(StandardCharsets.UTF_8));
    }

    private static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) exchange.getResponseBody().write(body);
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
