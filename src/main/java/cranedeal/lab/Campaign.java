package cranedeal.lab;

import com.fasterxml.jackson.databind.node.ObjectNode;
import cranedeal.lab.report.Summary;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Runs an experiment repeatedly, each time with faults drawn from another seed. A run that breaks a rule or a
 * bound is kept, with an experiment file of a reduced list of faults that still breaks one. Other runs are
 * deleted.
 */
final class Campaign {

    private static final int MAX_SHRINK_RUNS = 12;

    private final TomlTable base;
    private final List<String> program;
    private final Path folder;
    private final Consumer<String> progress;

    Campaign(TomlTable base, List<String> program, Path folder, Consumer<String> progress) {
        this.base = base;
        this.program = program;
        this.folder = folder;
        this.progress = progress;
    }

    /**
     * The result of one seed.
     *
     * @param shrunk the file of the reduced experiment that is still broken; null if nothing broke
     */
    record Outcome(long seed, Summary summary, Path shrunk) { }

    /** Runs the seeds in turn until all have run or the time is over; reports each outcome. */
    List<Outcome> run(long first, long last, long budgetMs, Consumer<Outcome> listener)
            throws IOException, InterruptedException, ExperimentException {
        List<Outcome> outcomes = new ArrayList<>();
        long end = System.nanoTime() / 1_000_000 + budgetMs;
        for (long seed = first; seed <= last && System.nanoTime() / 1_000_000 < end; seed++) {
            Outcome outcome = run(seed);
            outcomes.add(outcome);
            listener.accept(outcome);
        }
        return outcomes;
    }

    private Outcome run(long seed) throws IOException, InterruptedException, ExperimentException {
        Experiment bare = ExperimentReader.read(base);
        List<ObjectNode> drawn = FaultDraw.draw(bare, seed);
        Path seedFolder = folder.resolve("seed-" + seed);
        Summary summary = run(drawn, seedFolder);
        if (summary.verdict() != Summary.Verdict.BROKEN) {
            Folders.delete(seedFolder);
            return new Outcome(seed, summary, null);
        }
        Path scratch = folder.resolve("shrinking");
        List<ObjectNode> small = Shrinker.shrink(drawn, MAX_SHRINK_RUNS, part -> {
            boolean broken = isBroken(part, scratch);
            Folders.delete(scratch);
            return broken;
        });
        Path file = seedFolder.resolve("shrunk.toml");
        base.with("fault", small).write(file);
        return new Outcome(seed, summary, file);
    }

    private boolean isBroken(List<ObjectNode> part, Path scratch) throws IOException {
        try {
            return run(part, scratch).verdict() == Summary.Verdict.BROKEN;
        } catch (ExperimentException e) {
            throw new IllegalStateException("a part of a drawn list of faults is not valid", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private Summary run(List<ObjectNode> faults, Path to)
            throws IOException, InterruptedException, ExperimentException {
        return new Run(ExperimentReader.read(base.with("fault", faults)), program, to, progress).run();
    }
}
