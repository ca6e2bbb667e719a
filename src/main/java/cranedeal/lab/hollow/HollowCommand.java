package cranedeal.lab.hollow;

import com.fasterxml.jackson.databind.json.JsonMapper;
import cranedeal.fleet.command.CommandException;
import cranedeal.fleet.command.Program;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures the cost of a balancer's control traffic over real sockets. */
@Command(name = "hollow", mixinStandardHelpOptions = true,
        description = "Runs hollow balancers, which do all of a balancer's control work and serve no traffic,"
                + " over real sockets, and prints the cost of each: idle, when a sixth of them is killed at"
                + " once, and when those are started again.")
public final class HollowCommand implements Callable<Integer> {

    private static final JsonMapper JSON = new JsonMapper();

    @Spec
    private CommandSpec spec;
    @Option(names = "--members", paramLabel = "N", defaultValue = "520",
            description = "The number of balancers; default ${DEFAULT-VALUE}.")
    private int members;
    @Option(names = "--processes", paramLabel = "N", defaultValue = "2",
            description = "The number of processes; default ${DEFAULT-VALUE}.")
    private int processes;
    @Option(names = "--seconds", paramLabel = "S", defaultValue = "15",
            description = "How long they are measured while idle; default ${DEFAULT-VALUE}.")
    private int seconds;
    @Option(names = "--period-ms", paramLabel = "MS", defaultValue = "1000",
            description = "The probe period; default ${DEFAULT-VALUE}.")
    private int periodMs;
    @Option(names = "--out", required = true, paramLabel = "DIR",
            description = "The folder for files and logs.")
    private Path out;
    @Option(names = "--json", description = "Print the result as JSON.")
    private boolean json;

    @Override
    public Integer call() throws CommandException, InterruptedException {
        if (members < 6 || members > HollowTrial.MAX_MEMBERS || processes < 1 || processes > members
                || seconds < 1
                || periodMs < 100 || periodMs > 60_000) {
            throw new CommandException(Program.USAGE_ERROR, "6 to " + HollowTrial.MAX_MEMBERS
                    + " members, at most one process per member, at least 1 second and a period of 100 to"
                    + " 60000 ms are required");
        }
        try (HollowTrial trial = new HollowTrial(members, processes, periodMs, out)) {
            HollowTrial.Result result = trial.run(seconds);
            PrintWriter to = spec.commandLine().getOut();
            to.println(json ? JSON.writeValueAsString(result) : text(result));
            to.flush();
            return 0;
        } catch (IOException e) {
            throw new CommandException(1, e.getMessage());
        }
    }

    private static String text(HollowTrial.Result of) {
        return String.format(Locale.ROOT, "%d members in %d processes, period %d ms: joined after %.1f s;"
                + " %.0f bytes of heap each, %d MB resident in all%n", of.members(), of.processes(),
                of.periodMs(), of.joinedMs() / 1_000, of.heapBytesEach(), of.residentKb() / 1_024)
                + line("joining", of.joining()) + line("at rest", of.atRest())
                + line(String.format(Locale.ROOT, "a sixth killed, known to all after %.1f s",
                        of.killedMs() / 1_000), of.killed())
                + line(String.format(Locale.ROOT, "back, known to all after %.1f s", of.backMs() / 1_000),
                        of.back()).stripTrailing();
    }

    private static String line(String title, HollowTrial.Spent spent) {
        return String.format(Locale.ROOT, "  %s (%d s): %.0f bytes sent, %.0f received, %.2f datagrams"
                + " and %.3f exchanges a second and member; %.2f%% of a core each, %.2f%% in the peak second;"
                + " most of one member in a second %d bytes; a loop late by %.0f ms at most%n", title,
                spent.seconds(), spent.bytesSentPerS(), spent.bytesReceivedPerS(), spent.datagramsPerS(),
                spent.syncsPerS(), spent.cpuShare() * 100, spent.peakCpuShare() * 100, spent.peakBytes(),
                spent.lateMs());
    }
}
