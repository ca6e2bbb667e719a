package cranedeal.fleet.command;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The operators' commands. */
@Command(name = "fleet", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
        subcommands = {StoreCommand.class, MembersCommand.class, ConfigCommand.class},
        description = "The operators' commands for a fleet and its processes.")
public final class FleetCommand implements Role, Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        return Program.missingSubcommand(spec);
    }
}
