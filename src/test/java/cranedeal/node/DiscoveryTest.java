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

/** Tests the list and the watch over real sockets, with late, partial and invalid answers of discovery. */
@Timeout(60)
class DiscoveryTest {

    private static final int LATE_ANSWER_MS = 1_000;
    /** An earlier version cancelled a call after this time. */
    private static final int OLD_CALL_TIMEOUT_MS = 4_000;
    private static final int LONG_LIST_MS = 500;
    /** Blanks before the list: more than can be written at one per ms before the end. */
    private static final int BLANKS = 8_000;

    private final NodeFixture fixture = new NodeFixture();

    DiscoveryTest() throws IOException {
        fixture.balancer.onStart = () -> fixture.balancer.actions.watch(true);
    }

    private void started() throws Exception {
        fixture.start();
        assertEquals(Change.CACHED, ScriptedBalancer.next(fixture.balancer.changes));
    }

    @Test
    void aWatchContinuesFromTheLastVersion() throws Exception {
        try (fixture) {
            started();
            HttpPeer watch = fixture.discovery.accept();
            assertEquals("GET /catalog/members?index=41&wait=2500 HTTP/1.1", watch.read().firstLine());
            watch.write(NodeFixture.ok(NodeFixture.listJson(45, false,
                    NodeFixture.listEntry(0, "127.0.0.1:1", "draining"))));
            assertEquals(Change.DELTA, ScriptedBalancer.next(fixture.balancer.changes));
            assertEquals("GET /catalog/members?index=45&wait=2500 HTTP/1.1", watch.read().firstLine());
            watch.write(NodeFixture.ok(NodeFixture.listJson(46, false)));
            assertEquals(Change.DELTA, ScriptedBalancer.next(fixture.balancer.changes));
            assertEquals("GET /catalog/members?index=46&wait=2500 HTTP/1.1", watch.read().firstLine());
            watch.write(NodeFixture.ok(NodeFixture.listJson(47, false,
                    "{\"id\":\"s-00000000\",\"state\":\"removed\"}")));
            assertEquals(Change.DELTA, ScriptedBalancer.next(fixture.balancer.changes));
            assertEquals("GET /catalog/members?index=47&wait=2500 HTTP/1.1", watch.read().firstLine());
        }
    }

    /** Discovery serves calls one at a time, so under load it answers some time after the wait is over. */
    @Test
    void aWatchAnsweredASecondAfterItsWaitIsNotCancelled() throws Exception {
        try (fixture) {
            started();
            HttpPeer watch = fixture.discovery.accept();
            watch.read();
            Thread.sleep(DiscoveryClient.MAX_WAIT_MS + LATE_ANSWER_MS);
            watch.write(NodeFixture.ok(NodeFixture.listJson(45, false,
                    NodeFixture.listEntry(0, "127.0.0.1:1", "draining"))));
            assertEquals(Change.DELTA, ScriptedBalancer.next(fixture.balancer.changes));
        }
    }

    /**
     * A long list may take longer to arrive than the timeout; the call continues while parts of it arrive.
     */
    @Test
    void aListThatIsStillArrivingIsNotTimedOut() throws Exception {
        try (fixture) {
            started();
            HttpPeer watch = fixture.discovery.accept();
            watch.read();
            long longer = OLD_CALL_TIMEOUT_MS + LONG_LIST_MS;
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(longer);
            String list = NodeFixture.ok(" ".repeat(BLANKS) + NodeFixture.listJson(45, false,
                    NodeFixture.listEntry(0, "127.0.0.1:1", "draining")));
            int blank = list.indexOf("\r\n\r\n") + 4;
            watch.write(list.substring(0, blank));
            int written = blank;
            for (; System.nanoTime() < end && written < blank + BLANKS; written++) {
                watch.write(" ");
                Thread.sleep(1);
            }
            watch.write(list.substring(written));
            assertEquals(Change.DELTA, ScriptedBalancer.next(fixture.balancer.changes));
        }
    }

    /** The loop is busy between two polls for longer than the call's timeout, while a change is unread. */
    @Test
    void anUnreadChangeIsReadBeforeItsCallIsCancelled() throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        fixture.balancer.onOutcome = outcome -> {
            held.countDown();
            try {
                release.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        };
        try (fixture) {
            started();
            HttpPeer watch = fixture.discovery.accept();
            watch.read();
            fixture.caller().write(NodeFixture.get("1", "10"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            upstream.write(NodeFixture.ok("served"));
            held.await();
            watch.write(NodeFixture.ok(NodeFixture.listJson(45, false,
                    NodeFixture.listEntry(0, "127.0.0.1:1", "draining"))));
            Thread.sleep(OLD_CALL_TIMEOUT_MS);
            release.countDown();
            assertEquals(Change.DELTA, ScriptedBalancer.next(fixture.balancer.changes));
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
    void anInvalidAnswerIsAFailureAndTheOldListStaysInForce(String answer) throws Exception {
        try (fixture) {
            started();
            HttpPeer watch = fixture.discovery.accept();
            watch.read();
            watch.write(answer);
            watch.close();
            assertEquals(Change.FAILED, ScriptedBalancer.next(fixture.balancer.changes));
            fixture.assertServes();
            // One failure for one call, and the module can call again with the version it has.
            assertTrue(fixture.balancer.changes.isEmpty());
            fixture.balancer.onRequest = request -> {
                fixture.balancer.actions.refuse(request.id(), 0);
                fixture.balancer.actions.watch(true);
            };
            fixture.caller().write(NodeFixture.get("again", "10"));
            assertEquals("GET /catalog/members?index=41&wait=250 HTTP/1.1",
                    fixture.discovery.accept().read().firstLine());
        }
    }

    @Test
    void anUnreachableDiscoveryIsAFailure() throws Exception {
        try (fixture) {
            fixture.discovery.close();
            started();
            assertEquals(Change.FAILED, ScriptedBalancer.next(fixture.balancer.changes));
        }
    }

    @Test
    void theModuleRetriesAfterAFailure() throws Exception {
        try (fixture) {
            fixture.start(cranedeal.LatencyWeightedBalancer::new);
            fixture.discovery.accept().reset();
            HttpPeer again = fixture.discovery.accept();
            // This call finds out whether discovery is back, so it has a short wait.
            assertEquals("GET /catalog/members?index=41&wait=250 HTTP/1.1", again.read().firstLine());
            again.write(NodeFixture.ok(NodeFixture.listJson(45, false)));
            assertEquals("GET /catalog/members?index=45&wait=2500 HTTP/1.1", again.read().firstLine());
        }
    }

    private interface WatchTest {
        void run(HttpPeer silent, LinkedBlockingQueue<String> events) throws Exception;
    }

    /** Runs a test with a watch that waits for 100 ms at most and whose first call gets no answer. */
    private void withSilentWatch(WatchTest test) throws Exception {
        EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        Path file = Files.createTempFile("node", ".json");
        try (fixture) {
            Files.writeString(file, fixture.config());
            LinkedBlockingQueue<String> events = new LinkedBlockingQueue<>();
            NodeConfig config = NodeConfig.read(file.toString());
            DiscoveryClient discovery = new DiscoveryClient(loop, new Clock()::now,
                    new DiscoveryClient.Options(
                    config.discovery(), config.knownUpstreams().version(), 1, 100), config::parseList,
                    ByteBufAllocator.DEFAULT, new DiscoveryClient.Listener() {
                        @Override
                        public void changed(UpstreamList list) {
                            events.add("version " + list.version());
                        }

                        @Override
                        public void callFailed(CallEnd how) {
                            events.add(how.name());
                        }
                    });
            loop.execute(() -> discovery.watch(true));
            HttpPeer watch = fixture.discovery.accept();
            assertEquals("GET /catalog/members?index=41&wait=100 HTTP/1.1", watch.read().firstLine());
            test.run(watch, events);
        } finally {
            Files.delete(file);
            loop.parent().shutdownGracefully();
        }
    }

    private HttpPeer furtherCall() throws Exception {
        HttpPeer call = fixture.discovery.accept();
        assertEquals("GET /catalog/members?index=41&wait=100 HTTP/1.1", call.read().firstLine());
        return call;
    }

    @Test
    void anExtraCallIsSentBesideASilentWatchAndItsAnswerEndsTheFirst() throws Exception {
        withSilentWatch((silent, events) -> {
            // The client sends it by itself; a request by the module might come too late.
            HttpPeer extra = furtherCall();
            assertTrue(events.isEmpty());
            extra.write(NodeFixture.ok(NodeFixture.listJson(45, false)));
            assertEquals("version 45", ScriptedBalancer.next(events));
            assertTrue(silent.awaitClose());
            assertEquals("GET /catalog/members?index=45&wait=100 HTTP/1.1", extra.read().firstLine());
        });
    }

    @Test
    void aCallIsKeptBesideAnExtraCallAndItsLateAnswerIsAccepted() throws Exception {
        withSilentWatch((silent, events) -> {
            HttpPeer second = furtherCall();
            silent.write(NodeFixture.ok(NodeFixture.listJson(45, false)));
            assertEquals("version 45", ScriptedBalancer.next(events));
            // An older list must not replace a newer one, but it still ends its call.
            second.write(NodeFixture.ok(NodeFixture.listJson(44, false)));
            assertEquals("GET /catalog/members?index=45&wait=100 HTTP/1.1", second.read().firstLine());
            assertTrue(events.isEmpty());
        });
    }

    @Test
    void ifAllCallsAreSilentTheOldestIsKeptAndAnotherIsCancelled() throws Exception {
        withSilentWatch((silent, events) -> {
            HttpPeer second = furtherCall();
            furtherCall();
            furtherCall();
            assertTrue(second.awaitClose());
            assertEquals("TIMED_OUT", ScriptedBalancer.next(events));
            silent.write(NodeFixture.ok(NodeFixture.listJson(45, false)));
            assertEquals("version 45", ScriptedBalancer.next(events));
        });
    }

    /** Three such lists at once take most of the direct memory of a balancer in production. */
    @Test
    void aLongIndentedListIsAcceptedBesideTwoUnfinishedOnes() throws Exception {
        withSilentWatch((silent, events) -> {
            String[] entries = new String[3_200];
            for (int i = 0; i < entries.length; i++) {
                entries[i] = NodeFixture.listEntry(i, "127.0.0.1:" + (1 + i), "up").replace(",",
                        ",\n        ");
            }
            String answer = NodeFixture.ok(NodeFixture.listJson(45, true, entries));
            silent.write(answer.substring(0, answer.length() - 1));
            HttpPeer second = furtherCall();
            second.write(answer.substring(0, answer.length() - 1));
            HttpPeer third = furtherCall();
            third.write(answer);
            assertEquals("version 45", ScriptedBalancer.next(events));
            assertTrue(second.awaitClose());
        });
    }

    @Test
    void pushedListsKeepTheWatchOpenWithoutARequestOfTheModule() throws Exception {
        try (fixture) {
            fixture.pushLists = true;
            fixture.balancer.onStart = () -> { };
            started();
            HttpPeer watch = fixture.discovery.accept();
            assertEquals("GET /catalog/members?index=41&wait=2500 HTTP/1.1", watch.read().firstLine());
            watch.write(NodeFixture.ok(NodeFixture.listJson(45, false,
                    NodeFixture.listEntry(0, "127.0.0.1:1", "draining"))));
            assertEquals(Change.DELTA, ScriptedBalancer.next(fixture.balancer.changes));
            watch.read();
            watch.reset();
            // The module did not start the watch, so it isn't notified of the failure; the watch still
            // retries.
            HttpPeer again = fixture.discovery.accept();
            assertEquals("GET /catalog/members?index=45&wait=250 HTTP/1.1", again.read().firstLine());
            again.write(NodeFixture.ok(NodeFixture.listJson(46, false)));
            assertEquals(Change.DELTA, ScriptedBalancer.next(fixture.balancer.changes));
        }
    }

    @Test
    void theWholeListIsFetchedByASeparateCall() throws Exception {
        try (fixture) {
            fixture.balancer.onStart = () -> fixture.balancer.actions.fetch();
            started();
            HttpPeer call = fixture.discovery.accept();
            assertEquals("GET /catalog/members HTTP/1.1", call.read().firstLine());
            call.write(NodeFixture.ok(NodeFixture.listJson(50, true)));
            assertEquals(Change.FULL, ScriptedBalancer.next(fixture.balancer.changes));
        }
    }
}
