package cranedeal.node.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import cranedeal.LoadBalancer.State;
import cranedeal.LoadBalancer.Upstream;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * A list of upstreams as sent by discovery.
 *
 * @param full whether it is the whole list; otherwise it has only the changes
 */
public record UpstreamList(long version, boolean full, List<Member> members) {

    /** An upstream and its address; the address may be null for a removed upstream. */
    public record Member(Upstream upstream, InetSocketAddress address) { }

    /**
     * Parses a list. Throws {@link IllegalArgumentException} if any part of it is invalid, since accepting
     * only a part of it would drop working upstreams.
     */
    public static UpstreamList parse(JsonNode list, List<String> zones, List<String> kinds) {
        JsonNode servers = list.get("servers");
        if (servers == null || !servers.isArray() || !list.path("version").isIntegralNumber()) {
            throw new IllegalArgumentException("a list of upstreams needs a version and servers");
        }
        List<Member> members = new ArrayList<>(servers.size());
        for (JsonNode entry : servers) {
            members.add(member(entry, zones, kinds));
        }
        return new UpstreamList(list.get("version").longValue(), list.path("full").asBoolean(), members);
    }

    private static Member member(JsonNode entry, List<String> zones, List<String> kinds) {
        String id = entry.path("id").asText("");
        if (id.isEmpty()) {
            throw new IllegalArgumentException("an upstream has no id");
        }
        State state = switch (entry.path("state").asText("")) {
            case "up" -> State.READY;
            case "draining" -> State.DRAINING;
            case "removed" -> State.REMOVED;
            default -> throw new IllegalArgumentException("upstream " + id + " has an unknown state");
        };
        Upstream upstream = new Upstream(numericId(id), indexOf(zones, entry.path("zone").asText("")),
                indexOf(kinds, entry.path("kind").asText("")), entry.path("cell").asInt(0), state,
                entry.path("weight").asDouble(1), entry.path("started_ms").asDouble(0));
        String address = entry.path("addr").asText("");
        // A removed upstream needs no address.
        return new Member(upstream, address.isEmpty() && state == State.REMOVED ? null : address(address));
    }

    /** Hashes an id to the same number at every balancer, since the module's subsets depend on it. */
    public static long numericId(String id) {
        CRC32C low = new CRC32C();
        low.update(id.getBytes(StandardCharsets.UTF_8));
        return (long) id.hashCode() << Integer.SIZE | low.getValue();
    }

    /** The index of a name in the settings; unknown names get the index after the last one. */
    private static int indexOf(List<String> names, String name) {
        int index = names.indexOf(name);
        return index < 0 ? names.size() : index;
    }

    /** Parses a numeric address with a port; host names are not supported, since there is no DNS. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        byte[] ip = NetUtil.createByteArrayFromIpAddressString(
                colon < 0 ? text : text.substring(0, colon));
        if (ip == null) {
            throw new IllegalArgumentException("'" + text + "' is not a numeric address with a port");
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(ip),
                    Integer.parseInt(text.substring(colon + 1)));
        } catch (UnknownHostException | IllegalArgumentException e) {
            throw new IllegalArgumentException("'" + text + "' is not a numeric address with a port", e);
        }
    }
}
