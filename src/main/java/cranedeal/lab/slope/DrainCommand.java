package cranedeal.lab.slope;

import cranedeal.fleet.command.CommandException;
import cranedeal.fleet.command.Program;
import cranedeal.lab.LabCommand.ProgramUnderTest;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures how long upstreams still get requests after they left the list, while discovery is faulty. */
@Command(name = "drain", mixinStandardHelpOptions = true,
        description = "How long removed upstreams are still used, by the fault of discovery. "
                + "Exit code 1 if a request came more than 8,050 ms after the change.")
final class DrainCommand implements Callable<Integer> {

    private static final int BYTES_PER_KB = 1_024;

    @Spec
    private CommandSpec spec;
    @Option(names = "--drawn", description = "Draws faults, sizes, reloads and restarts by seed instead.")
    private boolean drawn;
    @Option(names = "--first", defaultValue = "1", paramLabel = "N",
            description = "The first seed; default ${DEFAULT-VALUE}.")
    private int first;
    @Option(names = "--trouble", split = ",", paramLabel = "TROUBLE",
            description = "The fault of discovery: " + DiscoveryTrouble.FORMS + ".")
    private List<String> troubles = List.of();
    @Option(names = "--upstreams", defaultValue = "3200", paramLabel = "N",
            description = "How many upstreams there are; default ${DEFAULT-VALUE}.")
    private int upstreams;
    @Option(names = "--balancers", defaultValue = "1", paramLabel = "N",
            description = "How many balancers there are; default ${DEFAULT-VALUE}.")
    private int balancers;
    @Option(names = "--rate", defaultValue = "200", paramLabel = "N",
            description = "Total requests per second; default ${DEFAULT-VALUE}.")
    private double rate;
    @Option(names = "--seconds", defaultValue = "14",
            description = "How long requests go on after the change; default ${DEFAULT-VALUE}.")
    private double seconds;
    @Option(names = "--plays", defaultValue = "1", paramLabel = "N",
            description = "Runs of each fault, each with its own seed; default ${DEFAULT-VALUE}.")
    private int runs;
    @Option(names = "--calls", description = "Also prints the balancers' log lines on discovery.")
    private boolean calls;
    @Mixin
    private ProgramUnderTest program;

    @Override
    public Integer call() throws CommandException, InterruptedException {
        if (upstreams < 2 || balancers < 1 || !(rate > 0) || !(seconds > 0) || runs < 1) {
            throw new CommandException(Program.USAGE_ERROR,
                    "at least two upstreams and numbers above 0 are needed");
        }
        if (drawn != troubles.isEmpty()) {
            throw new CommandException(Program.USAGE_ERROR, "give either --trouble or --drawn");
        }
        boolean held = true;
        for (int seed = first; seed < first + runs; seed++) {
            if (drawn) {
                DrainTrial.Plan plan = DrainDraw.plan(seed);
                held &= run(plan.trouble() + " " + plan.faults(), plan);
            }
            for (String name : troubles) {
                held &= run(name, new DrainTrial.Plan(upstreams, balancers, rate, seconds, parse(name),
                        List.of(), seed));
            }
        }
        return held ? 0 : 1;
    }

    private static DiscoveryTrouble parse(String name) throws CommandException {
        try {
            return DiscoveryTrouble.parse(name);
        } catch (IllegalArgumentException e) {
            throw new CommandException(Program.USAGE_ERROR, "--trouble: " + e.getMessage());
        }
    }

    private boolean run(String name, DrainTrial.Plan plan) throws CommandException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        try (DrainTrial trial = new DrainTrial(program.command(), plan)) {
            DrainTrial.Results seen = trial.run();
            out.printf(Locale.ROOT, "%s upstreams=%d balancers=%d seed=%d last=%.0f ms late=%d lists=%d KB "
                    + "%s%n", name, plan.upstreams(), plan.balancers(), plan.seed(), seen.lastMs(),
                    seen.late(), seen.listBytes() / BYTES_PER_KB, DataPathStudy.countsOf(seen.requests()));
            for (int i = 0; calls && i < plan.balancers(); i++) {
                trial.log(i).lines().filter(line -> line.contains("discovery")).forEach(out::println);
            }
            out.flush();
            return seen.late() == 0;
        } catch (IOException e) {
            throw new CommandException(1, e.getMessage());
        }
    }
}
