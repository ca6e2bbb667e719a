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

/** Base class of the study commands: measures, prints a table, and writes the requested files. */
public abstract class Study implements Callable<Integer> {

    private static final List<String> OUTPUT = List.of("--json", "--plot");

    @Spec
    private CommandSpec spec;
    @Option(names = "--json", paramLabel = "FILE", description = "Writes the report to this file as JSON.")
    private Path json;
    @Option(names = "--plot", paramLabel = "FILE", description = "Writes the plot to this file as PNG.")
    private Path plot;

    /** Measures; throws {@link CommandException} on invalid options or if measuring failed. */
    protected abstract SlopeReport measure() throws CommandException, IOException, InterruptedException;

    /** Creates an empty report of this study. */
    protected final SlopeReport report(String size) {
        return new SlopeReport(spec.name(), command(), size);
    }

    /** Returns the arguments that repeat the measurement, without the output options. */
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

    /** Returns the exception for invalid options. */
    protected static CommandException usageError(String what) {
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
