package cranedeal.lab.slope;

import cranedeal.fleet.command.CommandException;
import cranedeal.fleet.command.Program;
import cranedeal.lab.LabCommand.ProgramUnderTest;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs the overload scenarios of a range of seeds and reports for each whether the balancer passed. */
@Command(name = "overload", mixinStandardHelpOptions = true,
        description = "Runs one overload per seed: load, pause, upstreams and competing processes are drawn. "
                + "Exit code 1 if a run failed.")
final class OverloadCommand implements Callable<Integer> {

    private static final int SOCKETS = 1_024;
    private static final OverloadRun.LowLoad LOW_LOAD = new OverloadRun.LowLoad(50, 2);

    @Spec
    private CommandSpec spec;
    @Option(names = "--first", defaultValue = "1", paramLabel = "SEED",
            description = "The first seed; default ${DEFAULT-VALUE}.")
    private long first;
    @Option(names = "--plays", defaultValue = "10", paramLabel = "N",
            description = "How many seeds are run; default ${DEFAULT-VALUE}.")
    private int runs;
    @Option(names = "--processor", defaultValue = "0", paramLabel = "N",
            description = "The processor that the balancer runs on; default ${DEFAULT-VALUE}.")
    private int processor;
    @Mixin
    private ProgramUnderTest program;

    @Override
    public Integer call() throws CommandException, InterruptedException {
        if (runs < 1 || processor < 0) {
            throw new CommandException(Program.USAGE_ERROR,
                    "--plays must be 1 or more, and --processor 0 or more");
        }
        int broken = 0;
        for (long seed = first; seed < first + runs; seed++) {
            broken += run(seed) ? 0 : 1;
        }
        print(runs + " seeds run, " + broken + " failed");
        return broken == 0 ? 0 : 1;
    }

    /** Returns true if the balancer passed. */
    private boolean run(long seed) throws CommandException, InterruptedException {
        OverloadScenario scenario = OverloadScenario.of(seed);
        try {
            OverloadRun seen = OverloadRun.run(program.command(), scenario, processor, SOCKETS, LOW_LOAD);
            print((seen.faults().isEmpty() ? "held" : "BROKE " + seen.faults()) + "  " + scenario);
            print("    load  " + DataPathStudy.countsOf(seen.load()) + " in " + Math.round(seen.cpuUs() / 1e3)
                    + " ms of processor time");
            print("    after " + DataPathStudy.countsOf(seen.after()));
            print("    by    " + seen.causes());
            if (!seen.faults().isEmpty()) {
                print("    all   " + seen.metrics());
            }
            return seen.faults().isEmpty();
        } catch (IOException e) {
            throw new CommandException(1, "seed " + seed + ": " + e.getMessage());
        }
    }

    private void print(String line) {
        PrintWriter out = spec.commandLine().getOut();
        out.println(line);
        out.flush();
    }
}
