package cranedeal.lab.slope;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * On what a study was run; nothing that names the machine.
 *
 * @param processor its model, as the system has it
 * @param cores those that this process may use
 * @param memoryMb of the machine
 * @param system the operating system and its version
 * @param java the runtime and its version
 * @param flags those of the virtual machine, without paths
 * @param load the load average of the minute before
 */
record Machine(String processor, int cores, long memoryMb, String system, String java, List<String> flags,
        double load) {

    private static final int MB = 1 << 20;

    static Machine here() {
        OperatingSystemMXBean system =
                (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        return new Machine(model(), Runtime.getRuntime().availableProcessors(),
                system.getTotalMemorySize() / MB, system.getName() + " " + system.getVersion() + " "
                + system.getArch(), System.getProperty("java.vm.name") + " " + Runtime.version(),
                ManagementFactory.getRuntimeMXBean().getInputArguments().stream()
                        .filter(flag -> flag.startsWith("-X") && !flag.contains("/")).toList(),
                system.getSystemLoadAverage());
    }

    private static String model() {
        try (Stream<String> lines = Files.lines(Path.of("/proc/cpuinfo"))) {
            return lines.filter(line -> line.startsWith("model name")).findFirst()
                    .map(line -> line.substring(line.indexOf(':') + 1).trim()).orElse("not known");
        } catch (IOException e) {
            return "not known";
        }
    }
}
