package cranedeal.fleet.command;

import java.util.Map;
import java.util.ServiceLoader;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.UsageMessageSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * The command line. Exit codes: 0, success; 1, the command failed; 2, the arguments were wrong and nothing
 * was done.
 */
@Command(name = "sablehinge", mixinStandardHelpOptions = true, versionProvider = Program.Version.class,
        synopsisSubcommandLabel = "COMMAND",
        description = "A load balancer for services that call services, and its tools.")
public final class Program implements Callable<Integer> {

    /** The exit code for a file or a value that the command can't use. */
    public static final int USAGE_ERROR = CommandLine.ExitCode.USAGE;
    private static final int HELP_WIDTH = 100;

    @Spec
    private CommandSpec spec;

    private Program() {
    }

    @Override
    public Integer call() {
        return missingSubcommand(spec);
    }

    /** A subcommand that the caller of {@link #run} supplies. */
    public record SuppliedCommand(String description, Callable<Integer> start) { }

    /** Runs the command that the arguments name and returns the exit code. */
    public static int run(Map<String, SuppliedCommand> supplied, String... args) {
        CommandLine commandLine = new CommandLine(new Program());
        supplied.forEach((name, command) -> commandLine.addSubcommand(name, describe(command)));
        ServiceLoader.load(Role.class).forEach(commandLine::addSubcommand);
        commandLine.setCaseInsensitiveEnumValuesAllowed(true).setExpandAtFiles(false)
                .setUsageHelpWidth(HELP_WIDTH);
        commandLine.setParameterExceptionHandler((exception, parsed) -> {
            CommandLine command = exception.getCommandLine();
            command.getErr().println("sablehinge: " + exception.getMessage().lines().findFirst().orElse("")
                    + "; see " + command.getCommandSpec().qualifiedName() + " --help");
            return USAGE_ERROR;
        });
        commandLine.setExecutionExceptionHandler((failure, command, parsed) -> {
            if (failure instanceof CommandException commandFailure) {
                command.getErr().println("sablehinge: " + commandFailure.getMessage());
                return commandFailure.exitCode();
            }
            throw failure;
        });
        return commandLine.execute(args);
    }

    private static CommandSpec describe(SuppliedCommand command) {
        return CommandSpec.wrapWithoutInspection(command.start())
                .usageMessage(new UsageMessageSpec().description(command.description()))
                .mixinStandardHelpOptions(true);
    }

    /** For commands that only have subcommands: reports that one is missing. */
    public static int missingSubcommand(CommandSpec spec) {
        throw new ParameterException(spec.commandLine(), "a subcommand is missing");
    }

    /** The version, as the build writes it into the jar. */
    static final class Version implements IVersionProvider {

        @Override
        public String[] getVersion() {
            String version = Program.class.getPackage().getImplementationVersion();
            return new String[] {"sablehinge " + (version == null ? "(not packaged)" : version)};
        }
    }
}
