package cranedeal.lab.hollow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.fleet.command.Program;
import cranedeal.lab.Processes;
import cranedeal.lab.link.AddressBlock;
import cranedeal.lab.process.ChildProcess;
import cranedeal.lab.process.ProcessSupervisor;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs two processes of hollow balancers as members of one fleet over real sockets. */
class HollowBalancersTest {

    private static final int BALANCERS_PER_PROCESS = 20;

    @TempDir
    Path folder;
    private AddressBlock addresses;
    private ProcessSupervisor supervisor;
    private final List<HollowGroup> groups = new ArrayList<>();
    private final TreeSet<String> all = new TreeSet<>();

    @BeforeEach
    void start() throws Exception {
        addresses = AddressBlock.reserve();
        supervisor = new ProcessSupervisor();
        HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        for (int i = 0; i < 2; i++) {
            List<HollowConfig.Balancer> its = new ArrayList<>();
            for (int j = i * BALANCERS_PER_PROCESS; j < (i + 1) * BALANCERS_PER_PROCESS; j++) {
                its.add(new HollowConfig.Balancer("h" + j, at(j), at(j), null));
            }
            groups.add(HollowGroup.start("hollow-" + i, new HollowConfig(
                    addresses.ip(2 * BALANCERS_PER_PROCESS + i).getHostAddress()
                            + ":" + AddressBlock.ADMIN_PORT,
                    "test", 200, 1,
                    List.of(at(0)), its), folder, supervisor, http));
            all.addAll(groups.get(i).names());
        }
        for (HollowGroup group : groups) {
            group.startBalancers(all);
        }
        Processes.awaitCondition(() -> agree(all));
    }

    @AfterEach
    void end() throws Exception {
        supervisor.close();
        addresses.close();
    }

    private String at(int number) {
        return addresses.ip(number).getHostAddress() + ":" + AddressBlock.MEMBER_PORT;
    }

    /** Returns true if as many balancers as named are running and each sees that many members. */
    private boolean agree(TreeSet<String> names) throws Exception {
        int running = 0;
        for (HollowGroup group : groups) {
            HollowProcess.Views views = group.views(all);
            running += views.running();
            if (views.running() > 0 && (views.least() != names.size() || views.most() != names.size())) {
                return false;
            }
        }
        return running == names.size();
    }

    @Test
    void balancersCrashLeaveAndRejoin() throws Exception {
        TreeSet<String> left = new TreeSet<>(all);
        List<String> dead = List.of("h3", "h17", "h21", "h38");
        left.removeAll(dead);
        for (HollowGroup group : groups) {
            group.kill(dead);
        }
        Processes.awaitCondition(() -> agree(left));
        groups.get(0).leave(List.of("h5"));
        left.remove("h5");
        Processes.awaitCondition(() -> agree(left));
        for (HollowGroup group : groups) {
            group.startBalancers(all);
        }
        Processes.awaitCondition(() -> agree(all));
        assertEquals(0, Program.run(Map.of(), "fleet", "members", at(3), "--compare"));

        Meter.Window window = groups.get(0).window();
        assertTrue(window.datagrams() > 0 && window.bytesSent() > 0 && window.bytesReceived() > 0
                && window.peakBytes() > 0 && window.cpuMs() > 0, window.toString());
        assertTrue(groups.get(0).liveHeap() > 0);
    }

    @Test
    void balancersShareThreads() throws Exception {
        ChildProcess child = groups.get(0).child();
        try (var threads = Files.list(Path.of("/proc", Long.toString(child.pid()), "task"))) {
            List<String> names = new ArrayList<>();
            for (Path thread : threads.toList()) {
                names.add(Files.readString(thread.resolve("comm")).strip());
            }
            assertEquals(1, names.stream().filter(name -> name.matches("member-\\d+-\\d+")).count(),
                    names.toString());
            assertEquals(1, names.stream().filter(name -> name.startsWith("member-disk")).count(),
                    names.toString());
        }
    }
}
