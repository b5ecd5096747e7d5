import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP proxy on a loopback address, which can cut its way: channels are reset, new ones refused. */
final class Proxy implements AutoCloseable {
    private final InetSocketAddress own;
    private final InetSocketAddress callee;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket listening;

    Proxy(String host, int port, String calleeAddress) throws IOException {
        own = new InetSocketAddress(InetAddress.getByName(host), port);
        int colon = calleeAddress.lastIndexOf(':');
        callee = new InetSocketAddress(
            calleeAddress.substring(0, colon), Integer.parseInt(calleeAddress.substring(colon + 1)));
        listen();
    }

    String address() {
        return own.getAddress().getHostAddress() + ":" + own.getPort();
    }

    private void listen() throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(own, 512);
        listening = socket;
        Rig.thread("proxy", () -> {
            while (!socket.isClosed()) {
                try {
                    accept(socket.accept());
                } catch (IOException e) {
                    // The proxy was closed or cut.
                }
            }
        });
    }

    private void accept(Socket caller) {
        Rig.thread("proxy-connect", () -> {
            Socket to = new Socket();
            try {
                to.connect(callee, 1_000);
            } catch (IOException e) {
                reset(caller);
                return;
            }
            open.add(caller);
            open.add(to);
            if (listening.isClosed()) {
                reset(caller);
                reset(to);
                return;
            }
            Rig.thread("pump", () -> pump(caller, to));
            pump(to, caller);
        });
    }

    private void pump(Socket from, Socket to) {
        byte[] buffer = new byte[32_768];
        try {
            from.setTcpNoDelay(true);
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) out.write(buffer, 0, n);
        } catch (IOException e) {
            // One side ended.
        }
        for (Socket socket : new Socket[] {from, to}) {
            open.remove(socket);
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }
    }

    /** Resets the open channels and refuses new ones. */
    void cut() throws IOException {
        listening.close();
        open.forEach(Proxy::reset);
    }

    /** Lets channels pass again. */
    void heal() throws IOException {
        listen();
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    @Override
    public void close() throws IOException {
        cut();
    }
}
