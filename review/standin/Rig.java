import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ThreadFactory;

/** What the cases share: the record, consumers, ports and threads. */
final class Rig {
    /** A request of a consumer and its end; `status` is 0 if there was no complete answer. */
    record Sent(String id, String tenant, String front, long atNanos, int status, long endNanos) {}

    private record Line(long atNanos, String text) {}

    private final long startNanos = System.nanoTime();
    private final List<Line> lines = new ArrayList<>();

    static ThreadFactory daemons(String name) {
        return action -> {
            Thread thread = new Thread(action, name);
            thread.setDaemon(true);
            return thread;
        };
    }

    static void thread(String name, Runnable action) {
        daemons(name).newThread(action).start();
    }

    private static int nextPort = 20_000 + (int) (ProcessHandle.current().pid() % 300) * 40;

    /** A port that is free on the loopback address, outside the range for outgoing channels. */
    static synchronized int freePort(String host) throws IOException {
        for (int tries = 0; tries < 2_000; tries++) {
            int port = nextPort++;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // It is in use.
            }
        }
        throw new IOException("no free port");
    }

    synchronized void note(long atNanos, String text) {
        lines.add(new Line(atNanos, text));
    }

    void note(String text) {
        note(System.nanoTime(), text);
    }

    /** Records a line and prints it. */
    void say(String text) {
        note(text);
        System.out.println(text);
    }

    synchronized void write(Path file) throws IOException {
        lines.sort(Comparator.comparingLong(Line::atNanos));
        try (BufferedWriter out = Files.newBufferedWriter(file)) {
            for (Line line : lines) {
                double seconds = (line.atNanos - startNanos) / 1e9;
                out.write(String.format("%9.3f s  %s%n", seconds, line.text));
            }
        }
    }

    /**
     * Sends one request on a new channel and waits for its answer as long as the consumer would.
     * Records both.
     */
    Sent send(String front, String head, String id, String tenant, byte[] body, int waitMillis) {
        long at = System.nanoTime();
        int status = 0;
        try (Socket socket = new Socket()) {
            socket.connect(Front.addressOf(front), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(waitMillis);
            at = System.nanoTime();
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write((head + "Wisteriahinge-Request-Id: " + id + "\r\n"
                + "Wisteriahinge-Deadline-Ms: " + waitMillis + "\r\n"
                + (body == null ? "" : "Content-Length: " + body.length + "\r\n")
                + "Connection: close\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            if (body != null) bytes.write(body);
            socket.getOutputStream().write(bytes.toByteArray());
            status = readAnswer(socket.getInputStream());
        } catch (SocketTimeoutException e) {
            status = 0;
        } catch (IOException e) {
            status = 0;
        }
        Sent sent = new Sent(id, tenant, front, at, status, System.nanoTime());
        note(at, "consumer sends " + id + " of " + tenant + " to " + front);
        note(sent.endNanos, "consumer has "
            + (status == 0 ? "no complete answer" : "answer " + status) + " to " + id);
        return sent;
    }

    /** The status of a complete answer with a declared length; 0 if it is not complete. */
    private static int readAnswer(InputStream in) throws IOException {
        byte[] all = in.readAllBytes();
        String text = new String(all, StandardCharsets.ISO_8859_1);
        int headEnd = text.indexOf("\r\n\r\n");
        if (headEnd < 0 || !text.startsWith("HTTP/1.1 ")) return 0;
        for (String line : text.substring(0, headEnd).split("\r\n")) {
            if (!line.toLowerCase().startsWith("content-length:")) continue;
            int length = Integer.parseInt(line.substring(15).trim());
            if (all.length - headEnd - 4 != length) return 0;
        }
        return Integer.parseInt(text.substring(9, 12));
    }
}
