package cranedeal.lab.slope;

import cranedeal.fleet.command.CommandException;
import cranedeal.fleet.command.Program;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Model.ArgSpec;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** A study as a command: it measures, prints a table, and writes what was asked for. */
public abstract class Study implements Callable<Integer> {

    private static final List<String> OUTPUT = List.of("--json", "--plot");

    @Spec
    private CommandSpec spec;
    @Option(names = "--json", paramLabel = "FILE", description = "Where the report goes, in JSON.")
    private Path json;
    @Option(names = "--plot", paramLabel = "FILE", description = "Where the plot goes, in PNG.")
    private Path plot;

    /** Measures; throws {@link CommandException} if asked for in a wrong way, or if it failed. */
    protected abstract SlopeReport measure() throws CommandException, IOException, InterruptedException;

    /** A report of this study that has nothing in it yet. */
    protected final SlopeReport report(String size) {
        return new SlopeReport(spec.name(), command(), size);
    }

    /** What measures it again: all options that say what is measured, not where that is written. */
    private String command() {
        StringBuilder command = new StringBuilder("lab slope ").append(spec.name());
        for (ArgSpec arg : spec.commandLine().getParseResult().matchedArgs()) {
            if (arg instanceof OptionSpec option && !OUTPUT.contains(option.longestName())) {
                command.append(' ').append(option.longestName());
                if (option.arity().max() > 0) {
                    command.append(' ').append(String.join(",", option.originalStringValues()));
                }
            }
        }
        return command.toString();
    }

    /** Says that the command was given something that it can't use. */
    protected static CommandException wrong(String what) {
        return new CommandException(Program.USAGE_ERROR, what);
    }

    @Override
    public final Integer call() throws CommandException, InterruptedException {
        try {
            SlopeReport report = measure();
            spec.commandLine().getOut().print(report.text());
            spec.commandLine().getOut().flush();
            if (json != null) {
                report.writeJson(json);
            }
            if (plot != null) {
                report.writePlot(plot);
            }
            return 0;
        } catch (IOException e) {
            throw new CommandException(1, e.getMessage());
        }
    }
}
