package cranedeal.fleet.command;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import cranedeal.fleet.store.FolderDisk;
import cranedeal.fleet.store.Record;
import cranedeal.fleet.store.Repair;
import cranedeal.fleet.store.ReplayHandler;
import cranedeal.fleet.store.Store;
import cranedeal.fleet.store.StoreLimits;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Checks, prints and repairs the store of a process. */
@Command(name = "store", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
        description = "Checks, prints and repairs the folder in which a process stores its state.")
final class StoreCommand implements Callable<Integer> {

    private static final JsonMapper JSON = new JsonMapper();
    private static final DateTimeFormatter BACKUP_TIMESTAMP = DateTimeFormatter.ofPattern("yyyyMMdd-HHmmss");

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        return Program.missingSubcommand(spec);
    }

    @Command(name = "verify", mixinStandardHelpOptions = true,
            description = "Checks it and changes nothing. Exit code 0: it can be used; 1: it is damaged.")
    private int verify(@Parameters(paramLabel = "FOLDER") Path folder,
            @Option(names = "--json", description = "Answer in JSON.") boolean json) throws CommandException {
        try {
            Store.Stats stats = Repair.verify(openFolder(folder), StoreLimits.DEFAULT, new IgnoringHandler());
            if (json) {
                printLine(JSON.valueToTree(stats).toString());
            } else {
                printLine(folder + " is intact: " + stats.recovered()
                        + " records after the snapshot, the last is "
                        + stats.last());
                stats.notes().forEach(note -> printLine("  " + note));
            }
            return 0;
        } catch (IOException e) {
            throw new CommandException(1, folder + ": " + e.getMessage());
        }
    }

    @Command(name = "dump", mixinStandardHelpOptions = true,
            description = "Prints the contents, a line of JSON for each snapshot chunk and each record.")
    private int dump(@Parameters(paramLabel = "FOLDER") Path folder) throws CommandException {
        try {
            Repair.verify(openFolder(folder), StoreLimits.DEFAULT, new ReplayHandler() {

                @Override
                public void snapshotChunk(byte[] chunk) {
                    printLine(withContent(JSON.createObjectNode().put("snapshot", true), chunk).toString());
                }

                @Override
                public void record(Record record) {
                    printLine(withContent(JSON.createObjectNode().put("sequence", record.sequence())
                            .put("type", record.type()), record.payload()).toString());
                }
            });
            return 0;
        } catch (IOException e) {
            throw new CommandException(1, folder + ": " + e.getMessage());
        }
    }

    @Command(name = "repair", mixinStandardHelpOptions = true,
            description = "Truncates the store at its damage. The old files are kept in a folder inside it.")
    private int repair(@Parameters(paramLabel = "FOLDER") Path folder,
            @Option(names = "--json", description = "Answer in JSON.") boolean json) throws CommandException {
        openFolder(folder);
        Path backupFolder = folder.resolve("before-repair-"
                + BACKUP_TIMESTAMP.format(Instant.now(Clock.systemUTC())
                .atOffset(ZoneOffset.UTC)));
        try {
            Repair.Outcome outcome = Repair.repair(folder, StoreLimits.DEFAULT, backupFolder);
            if (json) {
                ObjectNode answer = JSON.createObjectNode()
                        .put("kept", outcome.backupFolder() == null ? null
                        : outcome.backupFolder().toString())
                        .put("dropped_count", outcome.droppedCount());
                answer.set("cut", JSON.valueToTree(outcome.repairedDamage()));
                answer.set("dropped", JSON.valueToTree(outcome.droppedSequences()));
                printLine(answer.toString());
            } else if (outcome.repairedDamage().isEmpty()) {
                printLine(folder + " is intact; nothing was changed");
            } else {
                outcome.repairedDamage().forEach(this::printLine);
                printLine(outcome.droppedCount() + " records after the damage were dropped: "
                        + outcome.droppedSequences());
                printLine("the old files are in " + outcome.backupFolder());
            }
            return 0;
        } catch (IOException e) {
            throw new CommandException(1, folder + ": " + e.getMessage());
        }
    }

    private static FolderDisk openFolder(Path folder) throws CommandException {
        if (!Files.isDirectory(folder)) {
            throw new CommandException(Program.USAGE_ERROR, folder + ": no such folder");
        }
        return new FolderDisk(folder);
    }

    private static ObjectNode withContent(ObjectNode line, byte[] bytes) {
        try {
            return line.put("text",
                    StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString());
        } catch (CharacterCodingException e) {
            return line.put("base64", bytes);
        }
    }

    private void printLine(String text) {
        PrintWriter out = spec.commandLine().getOut();
        out.println(text);
        out.flush();
    }

    /** Ignores the contents. */
    private static final class IgnoringHandler implements ReplayHandler {

        @Override
        public void snapshotChunk(byte[] chunk) {
            // Reading it is the check.
        }

        @Override
        public void record(Record record) {
            // Reading it is the check.
        }
    }
}
