import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;

/** A small HTTP/1.1 server and client on plain sockets, so that cases control every byte. */
final class Http {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    static final class Request {
        String method, target;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String path() {
            int q = target.indexOf('?');
            return q < 0 ? target : target.substring(0, q);
        }

        String query(String name) {
            int q = target.indexOf('?');
            if (q < 0) return null;
            for (String part : target.substring(q + 1).split("&")) {
                if (part.startsWith(name + "=")) {
                    return URLDecoder.decode(part.substring(name.length() + 1), StandardCharsets.UTF_8);
                }
            }
            return null;
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    interface Handler {
        /** Answers on the socket's stream; false closes the connection. */
        boolean handle(Request request, Socket socket, OutputStream out) throws Exception;
    }

    /** Serves each connection on a thread of its own. */
    static ServerSocket serve(Handler handler) throws IOException {
        ServerSocket server = new ServerSocket(0, 512, LOOPBACK);
        Thread acceptor = new Thread(() -> {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    Thread t = new Thread(() -> connection(socket, handler));
                    t.setDaemon(true);
                    t.start();
                } catch (IOException e) {
                    if (server.isClosed()) return;
                }
            }
        });
        acceptor.setDaemon(true);
        acceptor.start();
        return server;
    }

    private static void connection(Socket socket, Handler handler) {
        try (socket) {
            serveOn(socket, handler);
        } catch (IOException e) {
            // Closed already.
        }
    }

    /** Serves one connection until it ends. */
    static void serveOn(Socket socket, Handler handler) {
        try {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = new BufferedOutputStream(socket.getOutputStream());
            while (true) {
                Request request = readRequest(in);
                if (request == null) return;
                boolean keep = handler.handle(request, socket, out);
                out.flush();
                if (!keep) return;
            }
        } catch (Exception e) {
            // The peer may reset its connection at any time.
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int b;
        while ((b = in.read()) >= 0) {
            if (b == '\n') break;
            if (b != '\r') bytes.write(b);
        }
        return b < 0 && bytes.size() == 0 ? null : bytes.toString(StandardCharsets.ISO_8859_1);
    }

    private static Request readRequest(InputStream in) throws IOException {
        String first = line(in);
        if (first == null || first.isEmpty()) return null;
        String[] words = first.split(" ");
        Request request = new Request();
        request.method = words[0];
        request.target = words[1];
        readHeaders(in, request.headers);
        request.body = readBody(in, request.headers, false);
        return request;
    }

    static void readHeaders(InputStream in, Map<String, String> headers) throws IOException {
        String line;
        while ((line = line(in)) != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        if (line == null) throw new EOFException("the head ended early");
    }

    static byte[] readBody(InputStream in, Map<String, String> headers, boolean untilClose) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in).split(";")[0].trim(), 16);
                if (size == 0) {
                    line(in);
                    return all.toByteArray();
                }
                all.write(exactly(in, size));
                line(in);
            }
        }
        String length = headers.get("content-length");
        if (length != null) return exactly(in, Integer.parseInt(length));
        return untilClose ? in.readAllBytes() : new byte[0];
    }

    private static byte[] exactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) throw new EOFException("the body ended early");
        return bytes;
    }

    static void answer(OutputStream out, int status, String type, byte[] body, String... headers) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        if (type != null) head.append("Content-Type: ").append(type).append("\r\n");
        for (int i = 0; i < headers.length; i += 2) {
            head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
        }
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    /** What a client saw: a status, or why there was none. */
    static final class Result {
        int status = -1;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        String failure;

        @Override public String toString() {
            return failure != null ? "no answer (" + failure + ")" : "status " + status;
        }
    }

    /** One request on a new connection. */
    static Result send(int port, String method, String path, byte[] body, int timeoutMs, String... headers) {
        Result result = new Result();
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(LOOPBACK, port), 1000);
            socket.setSoTimeout(timeoutMs);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            for (int i = 0; i < headers.length; i += 2) {
                head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
            }
            if (body != null) head.append("Content-Length: ").append(body.length).append("\r\n");
            head.append("\r\n");
            OutputStream out = socket.getOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            if (body != null) out.write(body);
            out.flush();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String first = line(in);
            if (first == null) throw new EOFException("closed without an answer");
            int status = Integer.parseInt(first.split(" ")[1]);
            readHeaders(in, result.headers);
            result.body = readBody(in, result.headers, true);
            result.status = status;
        } catch (Exception e) {
            result.failure = e.getClass().getSimpleName() + ": " + e.getMessage();
        }
        return result;
    }
}
