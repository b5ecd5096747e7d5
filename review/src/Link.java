import java.io.*;
import java.net.*;
import java.util.*;

/**
 * A proxy to a port. While it is cut, it behaves like a partition: bytes on open connections are held
 * back, and new connections get no reply, because the listening queue is full.
 */
final class Link {
    private final int target;
    private final ServerSocket server;
    private final List<Socket> fillers = new ArrayList<>();
    private boolean cut;
    final int port;

    Link(int target) throws IOException {
        this.target = target;
        server = new ServerSocket(0, 1, Http.LOOPBACK);
        port = server.getLocalPort();
        Thread t = new Thread(this::accept);
        t.setDaemon(true);
        t.start();
    }

    private synchronized void awaitOpen() throws InterruptedException {
        while (cut) wait();
    }

    private void accept() {
        while (true) {
            try {
                // A connection that was accepted just before a cut is held back like the others.
                Socket caller = server.accept();
                awaitOpen();
                caller.setTcpNoDelay(true);
                Socket callee = new Socket(Http.LOOPBACK, target);
                callee.setTcpNoDelay(true);
                pump(caller, callee);
                pump(callee, caller);
            } catch (IOException e) {
                if (server.isClosed()) return;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void pump(Socket from, Socket to) {
        Thread t = new Thread(() -> {
            byte[] buffer = new byte[65536];
            try {
                int n;
                while ((n = from.getInputStream().read(buffer)) >= 0) {
                    awaitOpen();
                    to.getOutputStream().write(buffer, 0, n);
                }
                awaitOpen();
            } catch (Exception e) {
                // One end was reset.
            }
            close(from);
            close(to);
        });
        t.setDaemon(true);
        t.start();
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }

    void cut() throws Exception {
        synchronized (this) {
            cut = true;
        }
        // The acceptor takes one of these and waits; the others fill the queue of new connections.
        for (int i = 0; i < 6; i++) {
            Socket filler = new Socket();
            fillers.add(filler);
            Thread t = new Thread(() -> {
                try {
                    filler.connect(new InetSocketAddress(Http.LOOPBACK, port), 1000);
                } catch (IOException e) {
                    // The queue is full.
                }
            });
            t.setDaemon(true);
            t.start();
        }
    }

    void heal() {
        fillers.forEach(Link::close);
        fillers.clear();
        synchronized (this) {
            cut = false;
            notifyAll();
        }
    }
}
