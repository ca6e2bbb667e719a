package cranedeal.lab.slope;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * Describes the machine that a study ran on, without anything that identifies it.
 *
 * @param processor the processor model as the system reports it
 * @param cores number of cores available to this process
 * @param memoryMb the machine's memory in MB
 * @param system the operating system and its version
 * @param java the runtime and its version
 * @param flags the JVM's -X flags, except those that contain a path
 * @param load the load average over the last minute
 */
record Machine(String processor, int cores, long memoryMb, String system, String java, List<String> flags,
        double load) {

    private static final int MB = 1 << 20;

    static Machine current() {
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
