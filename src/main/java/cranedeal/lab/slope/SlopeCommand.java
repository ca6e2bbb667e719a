package cranedeal.lab.slope;

import cranedeal.fleet.command.Program;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The studies of how a fleet's costs grow with its size, each a subcommand. */
@Command(name = "slope", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "STUDY",
        subcommands = {DataPathConnections.class, DataPathStudy.class, DepthStudy.class, DrainCommand.class,
            GoodputStudy.class, MembershipStudy.class, OverloadCommand.class, UpstreamsStudy.class},
        description = "Measures how costs grow with the size of a fleet, and fits lines to them.")
public final class SlopeCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        return Program.missingSubcommand(spec);
    }
}
