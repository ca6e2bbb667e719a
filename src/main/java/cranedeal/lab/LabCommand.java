package cranedeal.lab;

import cranedeal.fleet.command.CommandException;
import cranedeal.fleet.command.Program;
import cranedeal.fleet.command.Role;
import cranedeal.lab.hollow.HollowCommand;
import cranedeal.lab.report.Comparison;
import cranedeal.lab.report.Summary;
import cranedeal.lab.slope.SlopeCommand;
import cranedeal.lab.swarm.SwarmCommand;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The lab's commands. Exit codes: 0, all rules kept; 1, a rule broken or a run void; 2, usage error. */
@Command(name = "lab", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
        subcommands = {SwarmCommand.class, SlopeCommand.class, HollowCommand.class},
        description = "Runs experiments: several processes of the program, load, and faults between them.")
public final class LabCommand implements Role, Callable<Integer> {

    private static final Pattern SEEDS = Pattern.compile("(\\d{1,18})\\.\\.(\\d{1,18})");
    private static final Pattern TIME = Pattern.compile("(\\d{1,9})([sm])");

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        return Program.missingSubcommand(spec);
    }

    /** Option that selects the program under test. */
    public static final class ProgramUnderTest {

        /** The JVM flags of production, as in the deploy file. */
        private static final List<String> FLAGS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
                "-Xshare:auto", "-Xms24m", "-Xmx64m", "-Xss512k", "-XX:MaxDirectMemorySize=40m",
                "-XX:MaxMetaspaceSize=40m", "-XX:ReservedCodeCacheSize=24m", "-XX:-UsePerfData",
                "-Djava.net.preferIPv4Stack=true", "-Dio.netty.jfr.enabled=false");

        @Option(names = "--program", paramLabel = "JAR",
                description = "The version to test; this one if not given.")
        private Path jar;

        /** Returns the command without arguments; throws {@link CommandException} if the jar is missing. */
        public List<String> command() throws CommandException {
            if (jar != null && !Files.isRegularFile(jar)) {
                throw new CommandException(Program.USAGE_ERROR, jar + ": no such file");
            }
            String classes = jar == null ? System.getProperty("java.class.path") : jar.toString();
            List<String> command = new ArrayList<>(List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString()));
            command.addAll(FLAGS);
            // A jar that was built here has a class data sharing archive beside it. The archive is valid only
            // for the exact class path text of its creation, so that text is passed on unchanged.
            Path archive = Path.of(classes.replaceAll("\\.jar$", "") + ".jsa");
            if (Files.isRegularFile(archive)) {
                command.add("-XX:SharedArchiveFile=" + archive);
            }
            command.addAll(List.of("-cp", classes, "cranedeal.node.Main"));
            return command;
        }
    }

    @Command(name = "run", mixinStandardHelpOptions = true, description = "Runs an experiment.")
    private int run(@Parameters(paramLabel = "FILE", description = "The experiment, in TOML.") Path file,
            @Option(names = "--out", required = true, paramLabel = "DIR",
                    description = "Folder for history, summary and report; one subfolder per run.") Path out,
            @Option(names = "--repeat", paramLabel = "N", defaultValue = "1",
                    description = "The number of runs.") int repeat,
            @Mixin ProgramUnderTest program) throws CommandException,
            InterruptedException {
        if (repeat < 1) {
            throw new CommandException(Program.USAGE_ERROR, "--repeat: expected 1 or more, not " + repeat);
        }
        Experiment experiment = read(file);
        boolean held = true;
        for (int i = 1; i <= repeat; i++) {
            Path folder = repeat == 1 ? out : out.resolve(Integer.toString(i));
            Summary summary = runExperiment(experiment, program.command(), folder);
            spec.commandLine().getOut().print(text(summary));
            spec.commandLine().getOut().println("  see " + folder.resolve(Run.REPORT));
            spec.commandLine().getOut().flush();
            held &= summary.verdict() == Summary.Verdict.HELD;
        }
        return held ? 0 : 1;
    }

    @Command(name = "compare", mixinStandardHelpOptions = true,
            description = "Compares the runs below two folders in pairs.")
    private int compare(@Parameters(paramLabel = "A") Path first, @Parameters(paramLabel = "B") Path second)
            throws CommandException {
        try {
            String text = Comparison.text(Comparison.read(first), Comparison.read(second));
            spec.commandLine().getOut().print(text);
            spec.commandLine().getOut().flush();
            return 0;
        } catch (IOException | IllegalArgumentException e) {
            throw new CommandException(Program.USAGE_ERROR, e.getMessage());
        }
    }

    @Command(name = "campaign", mixinStandardHelpOptions = true,
            description = "Runs an experiment with faults drawn from each seed, and shrinks failing ones.")
    private int campaign(
            @Parameters(paramLabel = "FILE",
            description = "The experiment; its own faults are ignored.") Path file, @Option(names = "--out",
                    required = true, paramLabel = "DIR",
                    description = "The folder for the runs that broke something.") Path out,
            @Option(names = "--seeds", required = true, paramLabel = "A..B", description = "The seeds.")
            String seeds,
            @Option(names = "--budget", paramLabel = "TIME", defaultValue = "10m",
                    description = "Time after which no further seed is begun: 90s, 10m.") String budget,
            @Mixin ProgramUnderTest program) throws CommandException, InterruptedException {
        Matcher range = SEEDS.matcher(seeds);
        Matcher time = TIME.matcher(budget);
        if (!range.matches() || Long.parseLong(range.group(1)) > Long.parseLong(range.group(2))) {
            throw new CommandException(Program.USAGE_ERROR, "--seeds: A..B is wanted, not '" + seeds + "'");
        }
        if (!time.matches()) {
            throw new CommandException(Program.USAGE_ERROR, "--budget: such as 90s or 10m is wanted, not '"
                    + budget + "'");
        }
        long budgetMs = Long.parseLong(time.group(1)) * (time.group(2).equals("m") ? 60_000 : 1_000);
        PrintWriter to = spec.commandLine().getOut();
        try {
            List<Campaign.Outcome> outcomes = new Campaign(TomlTable.read(file).with("fault", List.of()),
                    program.command(), out, progress()).run(Long.parseLong(range.group(1)),
                            Long.parseLong(range.group(2)), budgetMs, outcome -> printOutcome(outcome, to));
            long broken = outcomes.stream().filter(outcome -> outcome.shrunk() != null).count();
            to.println(outcomes.size() + " seeds run, " + broken + " broke something");
            to.flush();
            return broken == 0 ? 0 : 1;
        } catch (ExperimentException e) {
            throw new CommandException(Program.USAGE_ERROR, e.getMessage());
        } catch (IOException e) {
            throw new CommandException(1, e.getMessage());
        }
    }

    private static void printOutcome(Campaign.Outcome outcome, PrintWriter out) {
        Summary summary = outcome.summary();
        out.println("seed " + outcome.seed() + ": " + summary.verdict().name().toLowerCase(Locale.ROOT) + "; "
                + String.join(", ", summary.faults().stream().map(Summary.Recovery::title).toList()));
        if (!summary.complaints().isEmpty()) {
            out.println("  " + summary.complaints().get(0));
        }
        if (outcome.shrunk() != null) {
            out.println("  run it again with: lab run " + outcome.shrunk() + " --out DIR");
        }
        out.flush();
    }

    private static Experiment read(Path file) throws CommandException {
        try {
            return ExperimentReader.read(file);
        } catch (ExperimentException e) {
            throw new CommandException(Program.USAGE_ERROR, e.getMessage());
        }
    }

    private static Summary runExperiment(Experiment experiment, List<String> program, Path folder)
            throws CommandException, InterruptedException {
        try {
            return new Run(experiment, program, folder, progress()).run();
        } catch (IOException e) {
            throw new CommandException(1, e.getMessage());
        }
    }

    /** Shows progress on a terminal; does nothing if there is none. */
    private static Consumer<String> progress() {
        return System.console() == null ? text -> { } : text -> {
            System.err.print("\r\033[K" + text);
            System.err.flush();
        };
    }

    private static String text(Summary of) {
        StringBuilder text = new StringBuilder(String.format(Locale.ROOT,
                "%s: %s%n  %d requests, %.2f%% served, %.2f%% refused, %.2f%% failed; p50 %.1f, p99 %.1f ms;"
                + " %.3f attempts each%n", of.experiment(), of.verdict().name().toLowerCase(Locale.ROOT),
                of.requests(), 100 * of.served(), 100 * of.refused(), 100 * of.failed(), of.p50Ms(),
                of.p99Ms(), of.attempts()));
        of.faults().forEach(fault -> text.append(String.format(Locale.ROOT,
                "  %s from %.1f to %.1f s, recovered after %.0f ms%n", fault.title(),
                fault.beginMs() / 1_000, fault.endMs() / 1_000, fault.recoveryMs())));
        of.complaints().forEach(why -> text.append("  ").append(why).append('\n'));
        return text.toString();
    }
}
