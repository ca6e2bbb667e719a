package cranedeal.lab;

import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import cranedeal.lab.history.Checker;
import cranedeal.lab.history.ColdBudget;
import cranedeal.lab.history.DrainKept;
import cranedeal.lab.history.History;
import cranedeal.lab.history.NoUnsafeRepeat;
import cranedeal.lab.history.OneAnswer;
import cranedeal.lab.history.Promptness;
import cranedeal.lab.history.Unanswered;
import cranedeal.lab.report.Analysis;
import cranedeal.lab.report.HtmlReport;
import cranedeal.lab.report.Summary;
import cranedeal.lab.standin.Clients;
import cranedeal.lab.standin.LabClock;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Runs an experiment once. Its folder then holds {@code history.jsonl}, {@code summary.json}, {@code
 * report.html}, and a folder for each balancer with its configuration and log.
 */
final class Run {

    static final String HISTORY = "history.jsonl";
    static final String SUMMARY = "summary.json";
    /** Cost of control traffic; written only for experiments with hollow balancers. */
    static final String CONTROL = "control.json";
    static final String REPORT = "report.html";
    static final JsonMapper JSON = JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

    private static final long SAMPLE_EVERY_MS = 500;
    /** If the load generator is later than this (p99), the run is void. */
    private static final double MAX_LATE_MS = 50;
    private static final double US_PER_MS = 1_000;
    /** Slack of the timing rules, for a message to pass two processes on a busy machine. */
    private static final double SLACK_MS = 50;
    /** Time limit for the last requests and their retries after the end of the load. */
    private static final long MAX_COMPLETION_MS = 120_000;

    private final Experiment experiment;
    private final List<String> program;
    private final Path folder;
    private final Consumer<String> progress;

    /**
     * Creates a run without starting it.
     *
     * @param program the command that starts the program, without its role
     * @param folder the folder for its files; must not hold an earlier run
     * @param progress receives progress messages
     */
    Run(Experiment experiment, List<String> program, Path folder, Consumer<String> progress) {
        this.experiment = experiment;
        this.program = program;
        this.folder = folder;
        this.progress = progress;
    }

    /** Runs the experiment; throws {@link IOException} if that failed. */
    Summary run() throws IOException, InterruptedException {
        Files.createDirectories(folder);
        if (Files.exists(folder.resolve(HISTORY))) {
            throw new IOException(folder + " holds an earlier run");
        }
        List<String> voids = new ArrayList<>();
        Clients clients;
        try (History history = new History(folder.resolve(HISTORY))) {
            clients = run(history, voids);
            if (history.lost() > 0) {
                voids.add(history.lost()
                        + " events were lost because they came faster than they could be written");
            }
        }
        double late = clients.lateness().getValueAtPercentile(99) / US_PER_MS;
        if (late > MAX_LATE_MS) {
            voids.add("the load generator was late: its p99 is " + late + " ms");
        }
        if (clients.missed() > 0) {
            voids.add(clients.missed() + " requests found all of the clients' connections taken");
        }
        return analyse(late, voids);
    }

    private Clients run(History history, List<String> voids) throws IOException, InterruptedException {
        LabClock clock = new LabClock();
        progress.accept("starting " + experiment.balancers() + " balancers");
        try (Testbed world = new Testbed(experiment, program, folder, clock, history);
                FaultInjector director = new FaultInjector(experiment, world, clock, history);
                Monitor monitor = new Monitor(experiment, world, clock, history)) {
            world.start();
            monitor.start();
            double begun = world.clients().start();
            director.start(begun);
            while (!isDone(world.clients().done())) {
                world.sample();
                double now = clock.now() - begun;
                progress.accept(String.format("%s: %.0f of %.0f s", experiment.name(), now / 1_000,
                        experiment.load().durationMs() / 1_000));
                if (now > experiment.load().durationMs() + MAX_COMPLETION_MS) {
                    throw new IOException("requests are still open long after the end of the load");
                }
            }
            voids.addAll(director.failures());
            voids.addAll(monitor.failures());
            return world.clients();
        }
    }

    private static boolean isDone(CompletableFuture<Void> done) throws IOException, InterruptedException {
        try {
            done.get(SAMPLE_EVERY_MS, TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException e) {
            return false;
        } catch (ExecutionException e) {
            throw new IOException("the clients failed", e.getCause());
        }
    }

    private Summary analyse(double lateMs, List<String> voids) throws IOException {
        Map<String, Double> deadlines = experiment.load().classes().stream()
                .collect(Collectors.toMap(one -> one.name(), one -> one.deadlineMs()));
        Analysis analysis = new Analysis(deadlines, checkers());
        HtmlReport page = new HtmlReport();
        ControlAnalysis control = new ControlAnalysis(experiment.scale());
        History.replay(folder.resolve(HISTORY), analysis.andThen(page).andThen(control));
        List<String> broken = List.of();
        if (experiment.scale().hollow() > 0) {
            ControlAnalysis.Control figures = control.finish();
            JSON.writeValue(folder.resolve(CONTROL).toFile(), figures);
            voids.addAll(figures.voids());
            broken = figures.broken();
        }
        Summary summary = analysis.finish(experiment.name(), lateMs, voids, experiment.must(),
                experiment.balancers()).with(broken);
        JSON.writeValue(folder.resolve(SUMMARY).toFile(), summary);
        page.write(summary, folder.resolve(REPORT));
        return summary;
    }

    private List<Checker> checkers() {
        return List.of(new OneAnswer(), Unanswered.byClosing(), Unanswered.bySilence(),
                new NoUnsafeRepeat(experiment.effects(), experiment.cells()),
                new DrainKept(BalancerConfig.DRAIN_GRACE_MS + SLACK_MS),
                new ColdBudget(BalancerConfig.FALL_MULTIPLE, BalancerConfig.TIP_AFTER_MS),
                new Promptness(SLACK_MS));
    }
}
