package cranedeal.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/** What the kernel holds for the TCP sockets of this machine. */
final class SocketTable {

    private static final int HEX = 16;

    /** A socket's state, as the kernel's tables have it. */
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
     * The most that a socket in a state holds unread: bytes of a connection, or connections of a socket that
     * listens; 0 if there is no such socket.
     *
     * @param local whether the port is the socket's own, or that of the other end
     */
    static long unread(int port, boolean local, State state) throws IOException {
        String wanted = String.format(Locale.ROOT, ":%04X", port);
        long most = 0;
        for (String table : List.of("tcp", "tcp6")) {
            for (String line : Files.readAllLines(Path.of("/proc/self/net", table))) {
                // Columns: number, local and remote address, state, what is to be sent and to be read.
                String[] columns = line.strip().split("\\s+");
                if (columns[local ? 1 : 2].endsWith(wanted) && columns[3].equals(state.code)) {
                    most = Math.max(most, Long.parseLong(columns[4].split(":")[1], HEX));
                }
            }
        }
        return most;
    }
}
