package cranedeal.fleet.config;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import cranedeal.fleet.membership.CallReply;
import cranedeal.fleet.membership.Extension;
import cranedeal.fleet.membership.FleetMember;
import cranedeal.fleet.membership.Member;
import cranedeal.fleet.membership.PeerStore;
import cranedeal.fleet.membership.VersionNotice;
import cranedeal.fleet.store.FolderDisk;
import cranedeal.fleet.store.DurableValue;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import java.util.stream.Collectors;

/**
 * A process that stores the fleet's configuration: a member whose address serves operators, members and the
 * other coordinators. The {@link ConfigLog} and its disk have their own thread; frequent requests, for the
 * newest version, are answered without it.
 */
public final class Coordinator implements Extension, Closeable {

    /** The role of coordinators among the members. */
    public static final String ROLE = "coordinator";
    /** Calls of members that one coordinator answers per second; the rest get status 503. */
    static final int MAX_CALLS_PER_S = 200;
    /** Calls may be as large as the largest answer to a new leader, in JSON, and as slow as a busy disk. */
    static final FleetMember.CallLimits LIMITS = new FleetMember.CallLimits(128, 8 << 20, 5_000);
    private static final Logger LOG = Logger.getLogger(Coordinator.class.getPackageName());
    private static final double NANOS_PER_MS = 1e6;
    private static final int MAX_PARAMETER_LENGTH = 64;

    private final FleetMember member;
    private final String zone;
    private final Map<String, InetSocketAddress> peers;
    private final LogStore store;
    private final ConfigLog log;
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(
            new DefaultThreadFactory("coordinator", true));
    private final TokenBucket servingBudget = servingBudget();
    private volatile Version current;
    private ScheduledFuture<?> scheduledTick;
    private double nextTickAt = Double.POSITIVE_INFINITY;

    /**
     * Creates a coordinator that has not started. Throws {@link IOException} if its folder can't be used.
     *
     * @param config its member configuration, with the role {@link #ROLE}
     * @param peers the coordinators, by the addresses that they advertise; it may be among them
     * @param zone its zone; empty if unknown
     */
    public Coordinator(FleetMember.Config config, List<InetSocketAddress> peers, String zone, Path folder)
            throws IOException {
        this.zone = zone;
        Files.createDirectories(folder.resolve("config"));
        store = new LogStore(new FolderDisk(folder.resolve("config")), LOG::warning);
        DurableValue known = new DurableValue(folder.resolve("members"), LOG::warning);
        member = new FleetMember(config, new PeerStore() {

            @Override
            public byte[] read() throws IOException {
                return known.read();
            }

            @Override
            public void write(byte[] bytes) throws IOException {
                known.update(before -> bytes);
            }
        }, LIMITS);
        this.peers = peers.stream().distinct().collect(Collectors.toMap(ConfigCalls::formatAddress,
                peer -> peer));
        Set<String> others = new TreeSet<>(this.peers.keySet());
        log = new ConfigLog(ConfigCalls.formatAddress(config.advertise()), others, store.state(), store,
                config.seed(),
                new LogActions());
        member.setExtension(this);
    }

    static TokenBucket servingBudget() {
        return new TokenBucket(MAX_CALLS_PER_S, MAX_CALLS_PER_S);
    }

    /** Starts the coordinator asynchronously. */
    public void start() {
        member.start();
    }

    /** Announces that it leaves, and returns once its disk is released. */
    @Override
    public void close() throws IOException {
        member.leave();
        executor.shutdown();
        try {
            executor.awaitTermination(1, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        store.close();
    }

    // ---- On the coordinator's thread ---------------------------------------------------------------

    /** Runs a task on the log's thread and schedules the log's next tick. */
    private void executeOnLog(Runnable task) {
        if (executor.isShutdown()) {
            return;
        }
        executor.execute(() -> {
            task.run();
            scheduleTick();
        });
    }

    private void scheduleTick() {
        double next = log.wakeAt();
        if (next < nextTickAt && !executor.isShutdown()) {
            if (scheduledTick != null) {
                scheduledTick.cancel(false);
            }
            nextTickAt = next;
            scheduledTick = executor.schedule(() -> {
                nextTickAt = Double.POSITIVE_INFINITY;
                log.tick(member.now());
                scheduleTick();
            }, Math.max(0, (long) ((next - member.now()) * NANOS_PER_MS)), TimeUnit.NANOSECONDS);
        }
    }

    private final class LogActions implements ConfigLog.Actions {

        @Override
        public void prepare(String to, Replication.Prepare request) {
            call(to, ConfigCalls.PREPARE, request.json()).whenComplete((answer,
                    failure) -> executeOnLog(() -> {
                if (answer != null) {
                    log.handlePrepareAnswer(member.now(), to, request.epoch(), answer);
                }
            }));
        }

        @Override
        public void append(String to, Replication.Append request) {
            call(to, ConfigCalls.APPEND, request.json()).whenComplete((answer,
                    failure) -> executeOnLog(() -> {
                if (answer == null) {
                    log.handleAppendFailure(member.now(), to);
                } else {
                    log.handleAppendAnswer(member.now(), to, answer);
                }
            }));
        }

        private CompletionStage<Replication.Answer> call(String to, String uri, ObjectNode request) {
            return member.call(peers.get(to), "POST", uri + "?fleet=" + member.config().fleet(),
                    request.toString().getBytes(StandardCharsets.UTF_8)).thenCompose(reply -> {
                        CompletableFuture<Replication.Answer> answer = new CompletableFuture<>();
                        try {
                            if (reply.status() != CallReply.OK) {
                                throw new IOException("status " + reply.status());
                            }
                            answer.complete(Replication.Answer.parse(Manifest.JSON.readTree(reply.body())));
                        } catch (IOException e) {
                            answer.completeExceptionally(e);
                        }
                        return answer;
                    });
        }

        @Override
        public void committed(Version version) {
            current = version;
            LOG.info("version " + version.id() + " of " + version.manifest().author()
                    + " is on the disks of a majority");
            member.loop().execute(Coordinator.this::advertise);
        }

        @Override
        public void log(String line) {
            LOG.info(line);
        }
    }

    // ---- On the member's loop ----------------------------------------------------------------------

    private void advertise() {
        Version version = current;
        VersionId id = version == null ? VersionId.NONE : version.id();
        member.advertise(new VersionNotice(id.epoch(), id.number(), "", zone));
    }

    @Override
    public void starting() {
        // It can only serve others once it has its address.
    }

    @Override
    public void started() {
        advertise();
        executeOnLog(() -> log.start(member.now()));
    }

    @Override
    public void noticeReceived(Member from, VersionNotice notice) {
        // Its versions come only from the other coordinators.
    }

    @Override
    public Map<String, Long> metrics() {
        Version version = current;
        Map<String, Long> figures = new HashMap<>();
        figures.put("fleet.config.epoch", version == null ? 0 : version.id().epoch());
        figures.put("fleet.config.number", version == null ? 0 : version.id().number());
        return figures;
    }

    @Override
    public CompletionStage<CallReply> answer(String method, String uri, byte[] body) {
        QueryStringDecoder query = new QueryStringDecoder(uri);
        String expectedMethod = switch (query.path()) {
            case ConfigCalls.STATUS, ConfigCalls.MANIFEST, ConfigCalls.SECTION -> "GET";
            case ConfigCalls.PUBLISH, ConfigCalls.ROLLBACK, ConfigCalls.TAKE_OVER, ConfigCalls.PREPARE,
                    ConfigCalls.APPEND -> "POST";
            default -> null;
        };
        if (expectedMethod == null) {
            return null;
        }
        if (!expectedMethod.equals(method)) {
            return ConfigCalls.completed(CallReply.text(ConfigCalls.NOT_ALLOWED, "another method is wanted"));
        }
        boolean isFrequent = query.path().equals(ConfigCalls.MANIFEST)
                || query.path().equals(ConfigCalls.SECTION);
        if (isFrequent && !servingBudget.take(member.now())) {
            return ConfigCalls.completed(CallReply.text(ConfigCalls.UNAVAILABLE, "try again"));
        }
        Version version = current;
        return switch (query.path()) {
            case ConfigCalls.MANIFEST -> ConfigCalls.completed(ConfigCalls.manifestReply(version == null
                    ? null
                    : version.manifest(), query));
            case ConfigCalls.SECTION -> ConfigCalls.completed(ConfigCalls.sectionReply(version == null ? null
                    : version.section(ConfigCalls.parameter(query, "checksum"))));
            case ConfigCalls.STATUS -> replyLater(reply -> reply.complete(CallReply.json(CallReply.OK,
                    bytes(status()))));
            case ConfigCalls.PUBLISH -> publish(query, body);
            case ConfigCalls.ROLLBACK -> rollback(query);
            case ConfigCalls.TAKE_OVER -> replyLater(reply -> log.takeOver(member.now(), replyTo(reply)));
            default -> replicate(query, body);
        };
    }

    private interface Task {

        void run(CompletableFuture<CallReply> reply) throws IOException;
    }

    /** Answers on the coordinator's thread. */
    private CompletionStage<CallReply> replyLater(Task task) {
        CompletableFuture<CallReply> reply = new CompletableFuture<>();
        executeOnLog(() -> {
            try {
                task.run(reply);
            } catch (IOException | IllegalArgumentException e) {
                reply.complete(CallReply.text(ConfigCalls.BAD_REQUEST, e.getMessage()));
            }
        });
        return reply;
    }

    private CompletionStage<CallReply> replicate(QueryStringDecoder query, byte[] body) {
        return replyLater(reply -> {
            if (!ConfigCalls.parameter(query, "fleet").equals(member.config().fleet())) {
                throw new IOException("this is a coordinator of " + member.config().fleet());
            }
            var json = Manifest.JSON.readTree(body);
            Replication.Answer answer = query.path().equals(ConfigCalls.PREPARE)
                    ? log.handlePrepare(member.now(), Replication.Prepare.parse(json))
                    : log.handleAppend(member.now(), Replication.Append.parse(json));
            reply.complete(CallReply.json(CallReply.OK, bytes(answer.json())));
        });
    }

    private CompletionStage<CallReply> publish(QueryStringDecoder query, byte[] body) {
        return replyLater(reply -> {
            SortedMap<String, byte[]> sections;
            try {
                sections = ConfigDocument.parse(body);
            } catch (ConfigDocument.BadDocumentException e) {
                throw new IOException(e.getMessage(), e);
            }
            log.publish(member.now(), requiredParameter(query, "operation"), requiredParameter(query,
                    "author"),
                    System.currentTimeMillis(), "", sections, replyTo(reply));
        });
    }

    private CompletionStage<CallReply> rollback(QueryStringDecoder query) {
        return replyLater(reply -> log.rollback(member.now(), Long.parseLong(requiredParameter(query,
                "number")),
                requiredParameter(query, "operation"), requiredParameter(query, "author"),
                System.currentTimeMillis(), replyTo(reply)));
    }

    private static String requiredParameter(QueryStringDecoder query, String name) {
        String value = ConfigCalls.parameter(query, name);
        if (value.isBlank() || value.length() > MAX_PARAMETER_LENGTH) {
            throw new IllegalArgumentException(name + " has to have 1 to " + MAX_PARAMETER_LENGTH
                    + " characters");
        }
        return value;
    }

    private ConfigLog.Reply replyTo(CompletableFuture<CallReply> reply) {
        return (result, id, why) -> {
            int status = switch (result) {
                case DONE -> CallReply.OK;
                case NOT_LEADER -> ConfigCalls.CONFLICT;
                case UNKNOWN -> ConfigCalls.UNAVAILABLE;
                case REFUSED -> ConfigCalls.UNPROCESSABLE;
            };
            reply.complete(CallReply.json(status, bytes(Manifest.JSON.createObjectNode()
                    .put("result", result.name().toLowerCase(java.util.Locale.ROOT))
                    .put("version", id.toString()).put("why", why).put("epoch", log.epoch())
                    .put("leader", log.leader()))));
        };
    }

    private static byte[] bytes(ObjectNode json) {
        return json.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** The status for operators. */
    private ObjectNode status() {
        ObjectNode status = Manifest.JSON.createObjectNode().put("role", ROLE)
                .put("name", member.config().name()).put("zone", zone).put("epoch", log.epoch())
                .put("leader", log.leader()).put("leads", log.isLeader())
                .put("committed", (log.current() == null ? VersionId.NONE : log.current().id()).toString())
                .put("coordinators", peers.size());
        ArrayNode versions = status.putArray("versions");
        log.versions().values().forEach(version -> versions.addObject()
                .put("version", version.id().toString())
                .put("author", version.manifest().author()).put("time_ms", version.manifest().timeMs())
                .put("note", version.manifest().note()).put("operation", version.manifest().operation())
                .put("bytes", version.size())
                .put("committed", !version.id().isAfter(log.current() == null ? VersionId.NONE
                : log.current().id())));
        return status;
    }
}
