package cranedeal.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The encoding of messages between members. */
class CodecTest {

    private final SplittableRandom random = new SplittableRandom(1);
    private final Codec codec = new Codec("clinics");

    private Member member() throws IOException {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getByAddress(
                new byte[] {127, (byte) random.nextInt(), (byte) random.nextInt(), 1}),
                1 + random.nextInt(65_535));
        return new Member("n" + "x".repeat(random.nextInt(64)), address, random.nextLong(),
                random.nextLong(Member.MAX_INCARNATION), State.values()[random.nextInt(4)],
                "a".repeat(1 + random.nextInt(32)), "1." + random.nextInt(1_000_000));
    }

    @Test
    void encodedMessagesDecodeEqualAndFitInDatagram() throws Exception {
        for (int i = 0; i < 500; i++) {
            Member from = member();
            GossipQueue queue = new GossipQueue();
            for (int j = 0; j < 30; j++) {
                queue.add(new MemberUpdate(member(), random.nextBoolean() ? "" : "by" + j),
                        random.nextBoolean());
            }
            Message.Kind kind = Message.Kind.values()[random.nextInt(5)];
            String to = random.nextBoolean() ? "" : member().name();
            VersionNotice notice = random.nextBoolean() ? null : new VersionNotice(
                    random.nextLong(Member.MAX_INCARNATION), random.nextLong(Member.MAX_INCARNATION),
                    "s".repeat(random.nextInt(65)), "z".repeat(random.nextInt(65)));
            int remaining = Codec.MAX_DATAGRAM_BYTES - Codec.headerSize("clinics", to,
                    from) - Codec.encodedSize(notice);
            Message message = new Message(kind, random.nextLong(Long.MAX_VALUE), to,
                    kind == Message.Kind.ASK ? member().address() : null, from, random.nextLong(),
                    List.copyOf(queue.take(remaining, 1_000)), notice);
            byte[] bytes = codec.encode(message);
            assertTrue(bytes.length <= Codec.MAX_DATAGRAM_BYTES && !message.updates().isEmpty());
            assertEquals(message, codec.decode(bytes));
        }
        List<Member> all = new ArrayList<>(List.of(member(), member(), member()));
        assertEquals(all, codec.decodeMembers(codec.encode(all)));
    }

    /** A message of the previous release, whose members run beside this one's during a rollout. */
    private static final String PREVIOUS_FORMAT =
            "{\"v\":1,\"f\":\"clinics\",\"t\":\"ping\",\"n\":7,\"to\":\"b\","
            + "\"d\":9,\"m\":[\"a\",\"127.0.0.1:1\",\"serve\",\"1\",1,1,0],\"news\":[]}";

    @Test
    void unknownNoticeIsIgnoredAndMissingNoticeIsNull() throws Exception {
        Message previous = codec.decode(PREVIOUS_FORMAT.getBytes(StandardCharsets.UTF_8));
        assertEquals(null, previous.notice());
        assertEquals(PREVIOUS_FORMAT, new String(codec.encode(previous), StandardCharsets.UTF_8),
                "without a notice it is written as it was");
        Message withNotice = new Message(previous.kind(), previous.sequence(), previous.target(), null,
                previous.from(),
                previous.digest(), previous.updates(), new VersionNotice(2, 3, "front", "z1"));
        assertEquals(PREVIOUS_FORMAT.replace("\"news\"", "\"c\":[2,3,\"front\",\"z1\"],\"news\""),
                new String(codec.encode(withNotice), StandardCharsets.UTF_8),
                "one key more, which the version"
                + " before passes over as it does any");
        assertEquals(withNotice, codec.decode(codec.encode(withNotice)));
        for (String unknown : List.of("1", "{}", "[]", "[1]", "[-1,2,\"\",\"\"]", "[1,2,\"a b\",\"\"]",
                "[1e99,2,\"\",\"\"]")) {
            assertEquals(previous, codec.decode(PREVIOUS_FORMAT.replace("\"news\"",
                    "\"c\":" + unknown + ",\"news\"")
                    .getBytes(StandardCharsets.UTF_8)), "the rest of it still counts: " + unknown);
        }
    }

    @Test
    void messagesOfOtherFleetOrDistantFormatAreForeign() throws Exception {
        byte[] foreign = new Codec("other").encode(List.of(member()));
        assertThrows(Codec.ForeignException.class, () -> codec.decodeMembers(foreign));
        String own = new String(codec.encode(List.of(member())), StandardCharsets.UTF_8);
        String next = own.replace("\"v\":1", "\"new\":{},\"v\":2");
        assertEquals(1, codec.decodeMembers(next.getBytes(StandardCharsets.UTF_8)).size());
        String distant = own.replace("\"v\":1", "\"v\":3");
        assertThrows(Codec.ForeignException.class,
                () -> codec.decodeMembers(distant.getBytes(StandardCharsets.UTF_8)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{", "[]", "null", "1", "{\"v\":1}", "{\"v\":1,\"f\":\"clinics\"}",
        "{\"v\":1,\"f\":\"clinics\",\"t\":\"ping\",\"m\":[]}",
        "{\"v\":1,\"f\":\"clinics\",\"t\":\"ping\",\"m\":[\"n\",\"8.8.8.8:1\",\"s\",\"1\",1,1,0]}",
        "{\"v\":1,\"f\":\"clinics\",\"t\":\"ping\",\"m\":[\"n\",\"127.0.0.1:0\",\"s\",\"1\",1,1,0]}",
        "{\"v\":1,\"f\":\"clinics\",\"t\":\"ping\",\"m\":[\"n\",\"127.0.0.1:1\",\"s\",\"1\",1,-1,0]}",
        "{\"v\":1,\"f\":\"clinics\",\"t\":\"ping\",\"m\":[\"n\",\"127.0.0.1:1\",\"s\",\"1\",1,1e99,0]}",
        "{\"v\":1,\"f\":\"clinics\",\"t\":\"ping\",\"m\":[\"n\",\"127.0.0.1:1\",\"s\",\"1\",1,1,4]}",
        "{\"v\":1,\"f\":\"clinics\",\"t\":\"ping\",\"m\":[\"a b\",\"127.0.0.1:1\",\"s\",\"1\",1,1,0]}"})
    void malformedMessageIsRejected(String text) {
        assertThrows(IOException.class, () -> codec.decode(text.getBytes(StandardCharsets.UTF_8)));
    }
}
