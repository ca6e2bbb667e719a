package cranedeal.lab.slope;

import cranedeal.fleet.command.Program;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The studies of what a fleet costs by its size; each is a subcommand. */
@Command(name = "slope", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "STUDY",
        subcommands = {DataPathConnections.class, DataPathStudy.class, DepthStudy.class, DrainCommand.class,
            GoodputStudy.class, MembershipStudy.class, OverloadCommand.class, UpstreamsStudy.class},
        description = "Measures what grows with the size of a fleet, and draws a line through it.")
public final class SlopeCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        return Program.missingSubcommand(spec);
    }
}
