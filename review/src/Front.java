import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.regex.*;

/** One instance, started with the command and the environment of deploy/system.toml. */
final class Front {
    final String name;
    final int callers, ready, control, handover, storePort;
    private final Map<String, String> fields = new HashMap<>();
    private final Path log;
    Process process;

    Front(String name, int storePort, Path log) throws IOException {
        this.name = name;
        this.storePort = storePort;
        this.log = log;
        callers = freePort();
        ready = freePort();
        control = freePort();
        handover = freePort();
    }

    static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, Http.LOOPBACK)) {
            return s.getLocalPort();
        }
    }

    String controlAddress() {
        return "127.0.0.1:" + control;
    }

    void start(String seeds) throws IOException {
        fields.put("zone", "a");
        fields.put("node", name);
        fields.put("ip", "127.0.0.1");
        fields.put("listen.front", "127.0.0.1:" + callers);
        fields.put("listen.ready", "127.0.0.1:" + ready);
        fields.put("listen.control", controlAddress());
        fields.put("internalPorts.0", String.valueOf(handover));
        fields.put("seeds", seeds);
        fields.put("platform.address", "127.0.0.1:" + storePort);
        fields.put("platform.parts", "12");
        fields.put("bounds.graceS", "6");
        fields.put("bounds.retryRatio", "0.2");
        fields.put("bounds.budgetWindowS", "10");
        String toml = Files.readString(Path.of("deploy/system.toml"));
        String run = find("(?m)^run = \"(.*)\"$", toml);
        List<String> command = new ArrayList<>();
        for (String word : run.split(" ")) command.add(filled(word));
        ProcessBuilder builder = new ProcessBuilder(command);
        Matcher env = Pattern.compile("([A-Z0-9_]+) = \"([^\"]*)\"").matcher(find("(?m)^env = \\{(.*)\\}$", toml));
        while (env.find()) builder.environment().put(env.group(1), filled(env.group(2)));
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    private static String find(String pattern, String text) {
        Matcher m = Pattern.compile(pattern).matcher(text);
        if (!m.find()) throw new IllegalStateException("deploy/system.toml lacks " + pattern);
        return m.group(1);
    }

    private String filled(String text) {
        Matcher m = Pattern.compile("\\{\\{([^}]*)\\}\\}").matcher(text);
        return m.replaceAll(r -> Matcher.quoteReplacement(Objects.requireNonNull(fields.get(r.group(1)), r.group(1))));
    }

    boolean isReady() {
        return Http.send(ready, "GET", "/api/ready", null, 1000, "Host", "ready").status == 200;
    }

    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
    }
}
