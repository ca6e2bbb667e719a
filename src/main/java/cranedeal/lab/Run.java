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
import cranedeal.lab.report.Page;
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
 * Plays one experiment once. Its folder then holds {@code history.jsonl}, {@code summary.json}, {@code
 * report.html}, and a folder for each balancer with its configuration and log.
 */
final class Run {

    static final String HISTORY = "history.jsonl";
    static final String SUMMARY = "summary.json";
    /** What control cost the balancers; only where some are hollow. */
    static final String CONTROL = "control.json";
    static final String REPORT = "report.html";
    static final JsonMapper JSON = JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

    private static final long SAMPLE_EVERY_MS = 500;
    /** Beyond this the load generator is what is slow, and the run shows nothing. */
    private static final double MOST_LATE_MS = 50;
    private static final double US_PER_MS = 1_000;
    /** Slack of the rules on time: a message's way through two processes on a busy machine. */
    private static final double SLACK_MS = 50;
    /** How long the last requests and their retries may take once the load is over. */
    private static final long LONGEST_END_MS = 120_000;

    private final Experiment experiment;
    private final List<String> program;
    private final Path folder;
    private final Consumer<String> progress;

    /**
     * A run that has not begun.
     *
     * @param program the command that starts the program, without its role
     * @param folder where its files go; must not hold an earlier run
     * @param progress told now and then how far it is
     */
    Run(Experiment experiment, List<String> program, Path folder, Consumer<String> progress) {
        this.experiment = experiment;
        this.program = program;
        this.folder = folder;
        this.progress = progress;
    }

    /** Plays it; throws {@link IOException} where it could not be played. */
    Summary play() throws IOException, InterruptedException {
        Files.createDirectories(folder);
        if (Files.exists(folder.resolve(HISTORY))) {
            throw new IOException(folder + " holds an earlier run");
        }
        List<String> voids = new ArrayList<>();
        Clients clients;
        try (History history = new History(folder.resolve(HISTORY))) {
            clients = play(history, voids);
            if (history.lost() > 0) {
                voids.add(history.lost()
                        + " events were lost, as they came faster than they could be written");
            }
        }
        double late = clients.lateness().getValueAtPercentile(99) / US_PER_MS;
        if (late > MOST_LATE_MS) {
            voids.add("the load generator was late: its p99 is " + late + " ms");
        }
        if (clients.missed() > 0) {
            voids.add(clients.missed() + " requests found all of the clients' connections taken");
        }
        return analyse(late, voids);
    }

    private Clients play(History history, List<String> voids) throws IOException, InterruptedException {
        LabClock clock = new LabClock();
        progress.accept("starting " + experiment.balancers() + " balancers");
        try (World world = new World(experiment, program, folder, clock, history);
                Director director = new Director(experiment, world, clock, history);
                Monitor monitor = new Monitor(experiment, world, clock, history)) {
            world.start();
            monitor.start();
            double begun = world.clients().start();
            director.start(begun);
            while (!ended(world.clients().done())) {
                world.sample();
                double now = clock.now() - begun;
                progress.accept(String.format("%s: %.0f of %.0f s", experiment.name(), now / 1_000,
                        experiment.load().durationMs() / 1_000));
                if (now > experiment.load().durationMs() + LONGEST_END_MS) {
                    throw new IOException("requests do not end");
                }
            }
            voids.addAll(director.failures());
            voids.addAll(monitor.failures());
            return world.clients();
        }
    }

    private static boolean ended(CompletableFuture<Void> done) throws IOException, InterruptedException {
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
        Page page = new Page();
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
