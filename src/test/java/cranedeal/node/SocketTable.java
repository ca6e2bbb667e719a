package cranedeal.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/** Reads the kernel's tables of TCP sockets in /proc. */
final class SocketTable {

    private static final int HEX = 16;

    /** State of a socket, with its code in the kernel's tables. */
    enum State {
        ESTABLISHED("01"), LISTENING("0A");

        private final String code;

        State(String code) {
            this.code = code;
        }
    }

    private SocketTable() {
    }

    /**
     * Returns the largest receive queue of the sockets with the given port and state: unread bytes of a
     * connection, or unaccepted connections of a listening socket; 0 if there is no such socket.
     *
     * @param local true if the port is the socket's own, false if it is that of the remote end
     */
    static long unread(int port, boolean local, State state) throws IOException {
        String wanted = String.format(Locale.ROOT, ":%04X", port);
        long most = 0;
        for (String table : List.of("tcp", "tcp6")) {
            for (String line : Files.readAllLines(Path.of("/proc/self/net", table))) {
                // Columns: index, local address, remote address, state, send queue and receive queue.
                String[] columns = line.strip().split("\\s+");
                if (columns[local ? 1 : 2].endsWith(wanted) && columns[3].equals(state.code)) {
                    most = Math.max(most, Long.parseLong(columns[4].split(":")[1], HEX));
                }
            }
        }
        return most;
    }
}
