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

/** How long requests go to upstreams that have left the list, while discovery is in trouble. */
@Command(name = "drain", mixinStandardHelpOptions = true,
        description = "How long upstreams that have left are used, by what is wrong with discovery. "
                + "Exit code 1 if a request came more than 8,050 ms after the change.")
final class DrainCommand implements Callable<Integer> {

    private static final int BYTES_PER_KB = 1_024;

    @Spec
    private CommandSpec spec;
    @Option(names = "--drawn", description = "Draws troubles, sizes, reloads and restarts by seed instead.")
    private boolean drawn;
    @Option(names = "--first", defaultValue = "1", paramLabel = "N",
            description = "The first seed; default ${DEFAULT-VALUE}.")
    private int first;
    @Option(names = "--trouble", split = ",", paramLabel = "TROUBLE",
            description = "What is wrong with discovery: " + DiscoveryTrouble.FORMS + ".")
    private List<String> troubles = List.of();
    @Option(names = "--upstreams", defaultValue = "3200", paramLabel = "N",
            description = "How many upstreams there are; default ${DEFAULT-VALUE}.")
    private int upstreams;
    @Option(names = "--balancers", defaultValue = "1", paramLabel = "N",
            description = "How many balancers there are; default ${DEFAULT-VALUE}.")
    private int balancers;
    @Option(names = "--rate", defaultValue = "200", paramLabel = "N",
            description = "Requests a second in all; default ${DEFAULT-VALUE}.")
    private double rate;
    @Option(names = "--seconds", defaultValue = "14",
            description = "How long requests go on after the change; default ${DEFAULT-VALUE}.")
    private double seconds;
    @Option(names = "--plays", defaultValue = "1", paramLabel = "N",
            description = "Plays of each trouble, a seed each; default ${DEFAULT-VALUE}.")
    private int plays;
    @Option(names = "--calls", description = "Prints the balancers' lines on discovery too.")
    private boolean calls;
    @Mixin
    private ProgramUnderTest program;

    @Override
    public Integer call() throws CommandException, InterruptedException {
        if (upstreams < 2 || balancers < 1 || !(rate > 0) || !(seconds > 0) || plays < 1) {
            throw new CommandException(Program.USAGE_ERROR, "numbers above 0 and two upstreams are wanted");
        }
        if (drawn != troubles.isEmpty()) {
            throw new CommandException(Program.USAGE_ERROR, "either --trouble or --drawn is wanted");
        }
        boolean held = true;
        for (int seed = first; seed < first + plays; seed++) {
            if (drawn) {
                DrainTrial.Plan plan = DrainDraw.plan(seed);
                held &= play(plan.trouble() + " " + plan.faults(), plan);
            }
            for (String name : troubles) {
                held &= play(name, new DrainTrial.Plan(upstreams, balancers, rate, seconds, parse(name),
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

    private boolean play(String name, DrainTrial.Plan plan) throws CommandException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        try (DrainTrial trial = new DrainTrial(program.command(), plan)) {
            DrainTrial.Seen seen = trial.play();
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
