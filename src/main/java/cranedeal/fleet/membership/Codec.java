package cranedeal.fleet.membership;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.util.NetUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Encodes members and messages as JSON. Each message carries its fleet's name and its format version. A
 * member also accepts the adjacent format versions, since releases run mixed, and ignores unknown fields.
 */
final class Codec {

    static final JsonMapper JSON = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();
    /** The format version that this release writes. */
    static final int FORMAT_VERSION = 1;
    /** The largest datagram in bytes; it passes usual networks without fragmentation. */
    static final int MAX_DATAGRAM_BYTES = 1_200;
    /** Size of an update without its texts: brackets, commas, quotes, the longest address and numbers. */
    private static final int MAX_UPDATE_OVERHEAD = 20 + 21 + 20 + 17;
    /** Size of a message without its texts: keys, format version, kind, digest, sequence and one address. */
    private static final int MAX_HEADER_OVERHEAD = 75 + 21 + 2 * 20;
    /** Size of a notice without its texts: key, brackets, commas, quotes and the longest numbers. */
    private static final int MAX_NOTICE_OVERHEAD = 14 + 2 * 16;

    private final String fleet;

    /** A codec for the messages of one fleet. */
    Codec(String fleet) {
        Member.requireName(fleet);
        this.fleet = fleet;
    }

    /** A message of another fleet, or of a format version that is not adjacent to this one. */
    static final class ForeignException extends IOException {

        private static final long serialVersionUID = 1;

        ForeignException(String message) {
            super(message);
        }
    }

    /** An upper bound of an update's encoded size in bytes. */
    static int encodedSize(MemberUpdate updates) {
        Member member = updates.member();
        return MAX_UPDATE_OVERHEAD + member.name().length() + member.role().length() + member.version()
                .length()
                + updates.suspectedBy().length();
    }

    /** An upper bound of the encoded size of a message without its updates and notice, in bytes. */
    static int headerSize(String fleet, String to, Member from) {
        return MAX_HEADER_OVERHEAD + fleet.length() + to.length() + encodedSize(new MemberUpdate(from, ""));
    }

    /** An upper bound of a notice's encoded size in bytes; 0 for null. */
    static int encodedSize(VersionNotice notice) {
        return notice == null ? 0 : MAX_NOTICE_OVERHEAD + notice.service().length() + notice.zone().length();
    }

    byte[] encode(Message message) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(MAX_DATAGRAM_BYTES);
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            json.writeStartObject();
            writeHeader(json);
            json.writeStringField("t", message.kind().name().toLowerCase(Locale.ROOT));
            json.writeNumberField("n", message.sequence());
            json.writeStringField("to", message.target());
            if (message.targetAddress() != null) {
                json.writeStringField("at", formatAddress(message.targetAddress()));
            }
            json.writeNumberField("d", message.digest());
            json.writeFieldName("m");
            write(json, new MemberUpdate(message.from(), ""));
            VersionNotice notice = message.notice();
            if (notice != null) {
                json.writeArrayFieldStart("c");
                json.writeNumber(notice.epoch());
                json.writeNumber(notice.number());
                json.writeString(notice.service());
                json.writeString(notice.zone());
                json.writeEndArray();
            }
            json.writeArrayFieldStart("news");
            for (MemberUpdate updates : message.updates()) {
                write(json, updates);
            }
            json.writeEndArray();
            json.writeEndObject();
        }
        return bytes.toByteArray();
    }

    /** Encodes all known members for a full exchange. */
    byte[] encode(List<Member> members) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(MAX_DATAGRAM_BYTES);
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            json.writeStartObject();
            writeHeader(json);
            json.writeArrayFieldStart("members");
            for (Member member : members) {
                write(json, new MemberUpdate(member, ""));
            }
            json.writeEndArray();
            json.writeEndObject();
        }
        return bytes.toByteArray();
    }

    private void writeHeader(JsonGenerator json) throws IOException {
        json.writeNumberField("v", FORMAT_VERSION);
        json.writeStringField("f", fleet);
    }

    private static void write(JsonGenerator json, MemberUpdate updates) throws IOException {
        Member member = updates.member();
        json.writeStartArray();
        json.writeString(member.name());
        json.writeString(formatAddress(member.address()));
        json.writeString(member.role());
        json.writeString(member.version());
        json.writeNumber(member.instance());
        json.writeNumber(member.incarnation());
        json.writeNumber(member.state().ordinal());
        if (!updates.suspectedBy().isEmpty()) {
            json.writeString(updates.suspectedBy());
        }
        json.writeEndArray();
    }

    /** Throws {@link ForeignException} for a foreign message, {@link IOException} for a malformed one. */
    Message decode(byte[] bytes) throws IOException {
        JsonNode root = parseRoot(bytes);
        try {
            Message.Kind kind = Message.Kind.valueOf(root.path("t").asText().toUpperCase(Locale.ROOT));
            List<MemberUpdate> updates = new ArrayList<>();
            for (JsonNode item : root.path("news")) {
                updates.add(parseUpdate(item));
            }
            String to = root.path("to").asText();
            if (!to.isEmpty()) {
                Member.requireName(to);
            }
            InetSocketAddress targetAddress = kind == Message.Kind.ASK
                    ? parseAddress(root.path("at").asText()) : null;
            return new Message(kind, root.path("n").asLong(), to, targetAddress,
                    parseUpdate(root.path("m")).member(),
                    root.path("d").asLong(), List.copyOf(updates), parseNotice(root.path("c")));
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    /** Returns null if the notice is missing or malformed; the rest of the message stays valid. */
    private static VersionNotice parseNotice(JsonNode array) {
        if (!array.path(0).canConvertToLong() || !array.path(1).canConvertToLong()) {
            return null;
        }
        try {
            return new VersionNotice(array.path(0).longValue(), array.path(1).longValue(),
                    array.path(2).asText(), array.path(3).asText());
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    /** Decodes the output of {@link #encode(List)}; throws as {@link #decode} does. */
    List<Member> decodeMembers(byte[] bytes) throws IOException {
        JsonNode root = parseRoot(bytes);
        try {
            List<Member> members = new ArrayList<>();
            for (JsonNode item : root.path("members")) {
                members.add(parseUpdate(item).member());
            }
            return members;
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private JsonNode parseRoot(byte[] bytes) throws IOException {
        JsonNode root = JSON.readTree(bytes);
        int formatVersion = root == null ? 0 : root.path("v").asInt();
        if (formatVersion == 0) {
            throw new IOException("not a message");
        }
        if (!root.path("f").asText().equals(fleet)) {
            throw new ForeignException("of the fleet '" + root.path("f").asText() + "'");
        }
        if (Math.abs(formatVersion - FORMAT_VERSION) > 1) {
            throw new ForeignException("of form " + formatVersion + ", this is " + FORMAT_VERSION);
        }
        return root;
    }

    private static MemberUpdate parseUpdate(JsonNode item) {
        JsonNode state = item.path(6);
        JsonNode incarnation = item.path(5);
        if (!state.isInt() || state.intValue() < 0 || state.intValue() >= State.values().length
                || !incarnation.canConvertToLong() || !item.path(4).canConvertToLong()) {
            throw new IllegalArgumentException("not a valid member: " + truncated(item));
        }
        Member member = new Member(item.path(0).asText(), parseAddress(item.path(1).asText()),
                item.path(4).longValue(), incarnation.longValue(), State.values()[state.intValue()],
                item.path(2).asText(), item.path(3).asText());
        String suspectedBy = item.path(7).asText();
        if (!suspectedBy.isEmpty()) {
            Member.requireName(suspectedBy);
        }
        return new MemberUpdate(member, suspectedBy);
    }

    private static String truncated(JsonNode item) {
        String text = item.toString();
        return text.length() > 100 ? text.substring(0, 100) : text;
    }

    static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Parses IP:PORT. Only loopback addresses are accepted, since all members run on one machine. */
    static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        byte[] addressBytes = NetUtil.createByteArrayFromIpAddressString(text.substring(0, Math.max(colon,
                0)));
        try {
            if (addressBytes != null && InetAddress.getByAddress(addressBytes).isLoopbackAddress()) {
                return new InetSocketAddress(InetAddress.getByAddress(addressBytes),
                        Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IOException | IllegalArgumentException e) {
            throw new IllegalArgumentException("'" + text + "' is no address with a port", e);
        }
        throw new IllegalArgumentException("'" + text + "' is no loopback address with a port");
    }
}
