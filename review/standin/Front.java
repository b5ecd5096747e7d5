import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One machine with the role `front`, started with the command and environment of the deploy file. */
final class Front implements AutoCloseable {
    private static final Pattern ENTRY = Pattern.compile("(\\w+) = (\"[^\"]*\"|'[^']*')");

    final String name;
    final String zone;
    final String host;
    final String callers;
    final String ready;
    final String control;
    final String store;
    private final int internalPort;
    private final Map<String, String> fields = new TreeMap<>();
    private final Path repository;
    private final File log;
    private Process process;

    Front(Path repository, Path logs, String name, String zone, String host, String store)
        throws IOException {
        this.repository = repository;
        this.name = name;
        this.zone = zone;
        this.host = host;
        this.store = store;
        callers = host + ":" + Rig.freePort(host);
        ready = host + ":" + Rig.freePort(host);
        control = host + ":" + Rig.freePort(host);
        internalPort = Rig.freePort(host);
        log = logs.resolve(name + ".log").toFile();
    }

    /** Sets a field of the settings, as `DEPLOY.md` names it, for the next start. */
    void set(String field, String value) {
        fields.put(field, value);
    }

    void start() throws IOException {
        set("zone", zone);
        set("node", name);
        set("ip", host);
        set("listen.front", callers);
        set("listen.ready", ready);
        set("listen.control", control);
        set("internalPorts.0", Integer.toString(internalPort));
        set("platform.address", store);
        String deploy = Files.readString(repository.resolve("deploy/system.toml"));
        List<String> command = new ArrayList<>();
        for (String word : value(deploy, "run = \"(.*)\"").split(" ")) command.add(fill(word));
        ProcessBuilder builder = new ProcessBuilder(command)
            .directory(repository.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        builder.environment().keySet().removeIf(key -> key.startsWith("WISTERIAHINGE_"));
        Matcher entries = ENTRY.matcher(value(deploy, "env = \\{(.*)\\}"));
        while (entries.find()) {
            String quoted = entries.group(2);
            builder.environment()
                .put(entries.group(1), fill(quoted.substring(1, quoted.length() - 1)));
        }
        process = builder.start();
    }

    private static String value(String deploy, String pattern) {
        Matcher matcher = Pattern.compile("(?m)^" + pattern + "\\s*$").matcher(deploy);
        if (!matcher.find()) throw new IllegalStateException("the deploy file lacks " + pattern);
        return matcher.group(1);
    }

    private String fill(String text) {
        Matcher matcher = Pattern.compile("\\{\\{([^}]*)\\}\\}").matcher(text);
        StringBuilder out = new StringBuilder();
        while (matcher.find()) {
            String filled = fields.getOrDefault(matcher.group(1), "");
            matcher.appendReplacement(out, Matcher.quoteReplacement(filled));
        }
        return matcher.appendTail(out).toString();
    }

    /** Whether the platform's question for readiness gets a 200. */
    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(addressOf(ready), 500);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(
                ("GET /api/ready HTTP/1.1\r\nHost: " + ready + "\r\nConnection: close\r\n\r\n")
                    .getBytes());
            byte[] start = socket.getInputStream().readNBytes(12);
            return new String(start).endsWith(" 200");
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady(long millis) throws Exception {
        long until = System.nanoTime() + millis * 1_000_000L;
        while (!isReady()) {
            if (System.nanoTime() > until) throw new IllegalStateException(name + " is not ready");
            Thread.sleep(50);
        }
    }

    /** Stops as the platform does: SIGTERM, and SIGKILL after the grace time. */
    void stop(long graceSeconds) throws Exception {
        process.destroy();
        if (!process.waitFor(graceSeconds, TimeUnit.SECONDS)) kill();
    }

    void kill() throws Exception {
        process.destroyForcibly().waitFor();
    }

    static InetSocketAddress addressOf(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
            text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public void close() throws Exception {
        if (process != null) kill();
    }
}
