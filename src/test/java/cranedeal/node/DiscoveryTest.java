package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.LoadBalancer.Change;
import cranedeal.node.discovery.CallEnd;
import cranedeal.node.discovery.DiscoveryClient;
import cranedeal.node.discovery.UpstreamList;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The list and the watch, and what becomes of answers that are of no use. */
@Timeout(60)
class DiscoveryTest {

    private static final int CROWDED_MS = 1_000;
    /** After this time a call used to be given up. */
    private static final int GIVEN_UP_ONCE_MS = 4_000;
    private static final int LONG_LIST_MS = 500;
    /** Lists may come indented: more than are written, one a ms, until the end. */
    private static final int BLANKS = 8_000;

    private final Stage stage = new Stage();

    DiscoveryTest() throws IOException {
        stage.script.onStart = () -> stage.script.actions.watch(true);
    }

    private void started() throws Exception {
        stage.start();
        assertEquals(Change.CACHED, Script.next(stage.script.changes));
    }

    @Test
    void aWatchGoesOnFromWhatItWasTold() throws Exception {
        try (stage) {
            started();
            Peer watch = stage.discovery.accept();
            assertEquals("GET /catalog/members?index=41&wait=2500 HTTP/1.1", watch.read().first());
            watch.write(Stage.ok(Stage.roster(45, false, Stage.entry(0, "127.0.0.1:1", "draining"))));
            assertEquals(Change.DELTA, Script.next(stage.script.changes));
            assertEquals("GET /catalog/members?index=45&wait=2500 HTTP/1.1", watch.read().first());
            watch.write(Stage.ok(Stage.roster(46, false)));
            assertEquals(Change.DELTA, Script.next(stage.script.changes));
            assertEquals("GET /catalog/members?index=46&wait=2500 HTTP/1.1", watch.read().first());
            watch.write(Stage.ok(Stage.roster(47, false, "{\"id\":\"s-00000000\",\"state\":\"removed\"}")));
            assertEquals(Change.DELTA, Script.next(stage.script.changes));
            assertEquals("GET /catalog/members?index=47&wait=2500 HTTP/1.1", watch.read().first());
        }
    }

    /** Discovery works through its calls in turn, and in a crowd answers some time after the wait is over. */
    @Test
    void aWatchThatIsAnsweredASecondAfterItsWaitIsNotGivenUp() throws Exception {
        try (stage) {
            started();
            Peer watch = stage.discovery.accept();
            watch.read();
            Thread.sleep(DiscoveryClient.MAX_WAIT_MS + CROWDED_MS);
            watch.write(Stage.ok(Stage.roster(45, false, Stage.entry(0, "127.0.0.1:1", "draining"))));
            assertEquals(Change.DELTA, Script.next(stage.script.changes));
        }
    }

    /** A long list comes in for longer than a call is waited for; while parts of it come, that goes on. */
    @Test
    void aListThatIsComingInIsWaitedForBeyondItsTime() throws Exception {
        try (stage) {
            started();
            Peer watch = stage.discovery.accept();
            watch.read();
            long longer = GIVEN_UP_ONCE_MS + LONG_LIST_MS;
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(longer);
            String list = Stage.ok(" ".repeat(BLANKS) + Stage.roster(45, false,
                    Stage.entry(0, "127.0.0.1:1", "draining")));
            int blank = list.indexOf("\r\n\r\n") + 4;
            watch.write(list.substring(0, blank));
            int written = blank;
            for (; System.nanoTime() < end && written < blank + BLANKS; written++) {
                watch.write(" ");
                Thread.sleep(1);
            }
            watch.write(list.substring(written));
            assertEquals(Change.DELTA, Script.next(stage.script.changes));
        }
    }

    /** A change lies unread while the loop is busy within a look, until the time of its call is over. */
    @Test
    void aChangeThatHasComeIsReadBeforeItsCallIsGivenUp() throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        stage.script.onOutcome = outcome -> {
            held.countDown();
            try {
                release.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        };
        try (stage) {
            started();
            Peer watch = stage.discovery.accept();
            watch.read();
            stage.caller().write(Stage.get("1", "10"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            upstream.write(Stage.ok("served"));
            held.await();
            watch.write(Stage.ok(Stage.roster(45, false, Stage.entry(0, "127.0.0.1:1", "draining"))));
            Thread.sleep(GIVEN_UP_ONCE_MS);
            release.countDown();
            assertEquals(Change.DELTA, Script.next(stage.script.changes));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {
        "",
        "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
        "garbage\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"version\":",
        "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"version\":",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
        "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n{\"version\":50,\"servers\":[{}]}"})
    void anAnswerOfNoUseIsAFailureAndTheOldListHolds(String answer) throws Exception {
        try (stage) {
            started();
            Peer watch = stage.discovery.accept();
            watch.read();
            watch.write(answer);
            watch.close();
            assertEquals(Change.FAILED, Script.next(stage.script.changes));
            stage.servesStill();
            // One failure for one call, and the module can ask again from where it was.
            assertTrue(stage.script.changes.isEmpty());
            stage.script.onRequest = request -> {
                stage.script.actions.refuse(request.id(), 0);
                stage.script.actions.watch(true);
            };
            stage.caller().write(Stage.get("again", "10"));
            assertEquals("GET /catalog/members?index=41&wait=250 HTTP/1.1",
                    stage.discovery.accept().read().first());
        }
    }

    @Test
    void aDiscoveryThatIsDownIsAFailure() throws Exception {
        try (stage) {
            stage.discovery.close();
            started();
            assertEquals(Change.FAILED, Script.next(stage.script.changes));
        }
    }

    @Test
    void theModuleAsksAgainAfterAFailure() throws Exception {
        try (stage) {
            stage.start(cranedeal.LatencyWeightedBalancer::new);
            stage.discovery.accept().reset();
            Peer again = stage.discovery.accept();
            // Its answer tells whether discovery is back, so it must not be long in coming.
            assertEquals("GET /catalog/members?index=41&wait=250 HTTP/1.1", again.read().first());
            again.write(Stage.ok(Stage.roster(45, false)));
            assertEquals("GET /catalog/members?index=45&wait=2500 HTTP/1.1", again.read().first());
        }
    }

    private interface WatchTest {
        void play(Peer silent, LinkedBlockingQueue<String> told) throws Exception;
    }

    /** Plays with a watch that asks for 100 ms at most and whose first call gets no answer. */
    private void withSilentWatch(WatchTest test) throws Exception {
        EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        Path file = Files.createTempFile("node", ".json");
        try (stage) {
            Files.writeString(file, stage.config());
            LinkedBlockingQueue<String> told = new LinkedBlockingQueue<>();
            NodeConfig config = NodeConfig.read(file.toString());
            DiscoveryClient discovery = new DiscoveryClient(loop, new Clock()::now,
                    new DiscoveryClient.Options(
                    config.discovery(), config.knownUpstreams().version(), 1, 100), config::parseList,
                    ByteBufAllocator.DEFAULT, new DiscoveryClient.Listener() {
                        @Override
                        public void changed(UpstreamList list) {
                            told.add("version " + list.version());
                        }

                        @Override
                        public void callFailed(CallEnd how) {
                            told.add(how.name());
                        }
                    });
            loop.execute(() -> discovery.watch(true));
            Peer watch = stage.discovery.accept();
            assertEquals("GET /catalog/members?index=41&wait=100 HTTP/1.1", watch.read().first());
            test.play(watch, told);
        } finally {
            Files.delete(file);
            loop.parent().shutdownGracefully();
        }
    }

    private Peer furtherCall() throws Exception {
        Peer call = stage.discovery.accept();
        assertEquals("GET /catalog/members?index=41&wait=100 HTTP/1.1", call.read().first());
        return call;
    }

    @Test
    void besideAWatchThatFallsSilentAnotherCallGoesOutAndItsAnswerEndsTheFirst() throws Exception {
        withSilentWatch((silent, told) -> {
            // Nobody has to ask for it: whoever would, may do so too late.
            Peer anew = furtherCall();
            assertTrue(told.isEmpty());
            anew.write(Stage.ok(Stage.roster(45, false)));
            assertEquals("version 45", Script.next(told));
            assertTrue(silent.ended());
            assertEquals("GET /catalog/members?index=45&wait=100 HTTP/1.1", anew.read().first());
        });
    }

    @Test
    void aCallIsNotGivenUpWhileAnotherIsOutAndItsLateAnswerCounts() throws Exception {
        withSilentWatch((silent, told) -> {
            Peer second = furtherCall();
            silent.write(Stage.ok(Stage.roster(45, false)));
            assertEquals("version 45", Script.next(told));
            // An older list must not take the place of a newer one; it answers the call all the same.
            second.write(Stage.ok(Stage.roster(44, false)));
            assertEquals("GET /catalog/members?index=45&wait=100 HTTP/1.1", second.read().first());
            assertTrue(told.isEmpty());
        });
    }

    @Test
    void whereAllAreSilentTheOldestIsKeptAndAnotherIsGivenUp() throws Exception {
        withSilentWatch((silent, told) -> {
            Peer second = furtherCall();
            furtherCall();
            furtherCall();
            assertTrue(second.ended());
            assertEquals("TIMED_OUT", Script.next(told));
            silent.write(Stage.ok(Stage.roster(45, false)));
            assertEquals("version 45", Script.next(told));
        });
    }

    /** Most of the direct memory that a balancer in service has is taken by three of them at once. */
    @Test
    void aWholeListOfThousandsOfIndentedEntriesIsTakenInBesideTwoThatDoNotEnd() throws Exception {
        withSilentWatch((silent, told) -> {
            String[] entries = new String[3_200];
            for (int i = 0; i < entries.length; i++) {
                entries[i] = Stage.entry(i, "127.0.0.1:" + (1 + i), "up").replace(",", ",\n        ");
            }
            String answer = Stage.ok(Stage.roster(45, true, entries));
            silent.write(answer.substring(0, answer.length() - 1));
            Peer second = furtherCall();
            second.write(answer.substring(0, answer.length() - 1));
            Peer third = furtherCall();
            third.write(answer);
            assertEquals("version 45", Script.next(told));
            assertTrue(second.ended());
        });
    }

    @Test
    void whereListsArePushedTheWatchIsKeptThoughNobodyAsks() throws Exception {
        try (stage) {
            stage.pushed = true;
            stage.script.onStart = () -> { };
            started();
            Peer watch = stage.discovery.accept();
            assertEquals("GET /catalog/members?index=41&wait=2500 HTTP/1.1", watch.read().first());
            watch.write(Stage.ok(Stage.roster(45, false, Stage.entry(0, "127.0.0.1:1", "draining"))));
            assertEquals(Change.DELTA, Script.next(stage.script.changes));
            watch.read();
            watch.reset();
            // Nobody has asked, so nobody is told of a failure; the watch is back all the same.
            Peer again = stage.discovery.accept();
            assertEquals("GET /catalog/members?index=45&wait=250 HTTP/1.1", again.read().first());
            again.write(Stage.ok(Stage.roster(46, false)));
            assertEquals(Change.DELTA, Script.next(stage.script.changes));
        }
    }

    @Test
    void theWholeListIsAskedForOnItsOwn() throws Exception {
        try (stage) {
            stage.script.onStart = () -> stage.script.actions.fetch();
            started();
            Peer call = stage.discovery.accept();
            assertEquals("GET /catalog/members HTTP/1.1", call.read().first());
            call.write(Stage.ok(Stage.roster(50, true)));
            assertEquals(Change.FULL, Script.next(stage.script.changes));
        }
    }
}
