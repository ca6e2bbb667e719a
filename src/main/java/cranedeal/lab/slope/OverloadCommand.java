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

/** Plays the overloads of a range of seeds, and tells of each whether the balancer came through it. */
@Command(name = "overload", mixinStandardHelpOptions = true,
        description = "Plays an overload of each seed: its load, its pause, its upstreams and the processes "
                + "beside the balancer are drawn. Exits with 1 if one broke something.")
final class OverloadCommand implements Callable<Integer> {

    private static final int SOCKETS = 1_024;
    private static final OverloadPlay.Calm CALM = new OverloadPlay.Calm(50, 2);

    @Spec
    private CommandSpec spec;
    @Option(names = "--first", defaultValue = "1", paramLabel = "SEED",
            description = "The first seed; default ${DEFAULT-VALUE}.")
    private long first;
    @Option(names = "--plays", defaultValue = "10", paramLabel = "N",
            description = "How many seeds are played; default ${DEFAULT-VALUE}.")
    private int plays;
    @Option(names = "--processor", defaultValue = "0", paramLabel = "N",
            description = "The processor that the balancer runs on; default ${DEFAULT-VALUE}.")
    private int processor;
    @Mixin
    private ProgramUnderTest program;

    @Override
    public Integer call() throws CommandException, InterruptedException {
        if (plays < 1 || processor < 0) {
            throw new CommandException(Program.USAGE_ERROR, "one play or more, and a processor, are wanted");
        }
        int broken = 0;
        for (long seed = first; seed < first + plays; seed++) {
            broken += play(seed) ? 0 : 1;
        }
        print(plays + " seeds played, " + broken + " broke something");
        return broken == 0 ? 0 : 1;
    }

    /** Whether the balancer came through. */
    private boolean play(long seed) throws CommandException, InterruptedException {
        OverloadScenario scenario = OverloadScenario.of(seed);
        try {
            OverloadPlay seen = OverloadPlay.play(program.command(), scenario, processor, SOCKETS, CALM);
            print((seen.faults().isEmpty() ? "held" : "BROKE " + seen.faults()) + "  " + scenario);
            print("    load  " + DataPathStudy.countsOf(seen.load()) + " in " + Math.round(seen.cpuUs() / 1e3)
                    + " ms of processor time");
            print("    after " + DataPathStudy.countsOf(seen.after()));
            print("    by    " + seen.causes());
            if (!seen.faults().isEmpty()) {
                print("    all   " + seen.figures());
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
