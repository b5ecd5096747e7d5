import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;

/**
 * UNASKED when a consumer's upload has both a length and chunks, in which another request is hidden.
 */
final class SmuggleCase {
    private static final int FILLER_BYTES = 1_100_000;
    private static final int ATTEMPTS = 10;

    private SmuggleCase() {}

    public static void main(String[] args) {
        Site.run(args, SmuggleCase::isBroken);
    }

    private static boolean isBroken(Site site, boolean hasTrouble) throws Exception {
        for (int i = 0; i < 4; i++) site.addTarget("i-" + i, "gowu98c", "a", 3, 50);
        for (int i = 0; i < 3; i++) {
            Front front = site.addFront("a", site.store.address);
            front.set("bounds.configApplyMs", "2000");
            front.set("bounds.drainMs", "2000");
            front.set("bounds.revokeMs", "");
        }
        for (Front front : site.fronts) front.set("seeds", site.fronts.get(0).control);
        site.method = "POST";
        site.store.put("keyed.op", "config",
            Site.config(7, "gowu98c", 0, null).replace("\"safe\"", "\"upload\""));
        site.startBeats(() -> site.targets);
        site.startFronts();
        site.startRotation();
        Site.sleep(1_000);
        Set<String> uploads = new HashSet<>();
        Rig.thread("uploads", () -> {
            for (int i = 0; i < ATTEMPTS; i++) {
                Site.sleep(1_000);
                String id = "upload-" + i;
                synchronized (uploads) {
                    uploads.add(id);
                }
                upload(site, site.fronts.get(i % 3), id, "hidden-" + i, hasTrouble);
            }
        });
        site.traffic("usual", null, 20, 14, 2_500);
        Site.sleep(3_000);
        site.noteRuns();
        return check(site, uploads);
    }

    /** Sends an upload in chunks; with trouble it also has a length, after which comes a request. */
    private static void upload(Site site, Front front, String id, String hidden, boolean isAmbiguous) {
        byte[] filler = new byte[FILLER_BYTES];
        Arrays.fill(filler, (byte) 'x');
        String inner = "0123456789POST " + Site.PREFIX + "hidden HTTP/1.1\r\nHost: " + Site.HOST
            + "\r\nWisteriahinge-Request-Id: " + hidden + "\r\nContent-Length: " + FILLER_BYTES
            + "\r\n\r\n";
        try (Socket socket = new Socket()) {
            socket.connect(Front.addressOf(front.callers), 1_000);
            socket.setSoTimeout(3_000);
            site.rig.note("consumer sends " + id + " to " + front.callers
                + (isAmbiguous ? " with a length of 10 and in chunks" : " in chunks"));
            OutputStream out = socket.getOutputStream();
            out.write(("POST " + Site.PREFIX + "upload " + (isAmbiguous ? "HTTP/1.0" : "HTTP/1.1")
                + "\r\nHost: " + Site.HOST + "\r\nWisteriahinge-Request-Id: " + id
                + "\r\nWisteriahinge-Deadline-Ms: 2500\r\n"
                + (isAmbiguous ? "Content-Length: 10\r\n" : "")
                + "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            body.write(inner.getBytes(StandardCharsets.ISO_8859_1));
            body.write(filler);
            out.write((Integer.toHexString(body.size()) + "\r\n").getBytes());
            out.write(body.toByteArray());
            out.write("\r\n0\r\n\r\n".getBytes());
            out.flush();
            byte[] answer = socket.getInputStream().readAllBytes();
            String text = new String(answer, StandardCharsets.ISO_8859_1);
            site.rig.note("consumer has for " + id + ": " + text.lines().findFirst().orElse("nothing"));
        } catch (IOException e) {
            site.rig.note("consumer has for " + id + ": " + e.getMessage());
        }
    }

    /** Requests that a target ran and whose id no consumer sent as that of a request. */
    private static boolean check(Site site, Set<String> uploads) {
        Set<String> sent = new HashSet<>();
        for (Rig.Sent each : site.sent) sent.add(each.id());
        synchronized (uploads) {
            sent.addAll(uploads);
        }
        int unasked = 0;
        for (Target target : site.targets) {
            for (Target.Arrival run : target.runs) {
                if (sent.contains(run.id())) continue;
                unasked++;
                site.rig.note(run.atNanos(), "UNASKED: " + target.id + " runs " + run.id());
            }
        }
        site.rig.say("UNASKED: targets ran " + unasked + " requests that were hidden in others");
        return unasked > 0;
    }
}
