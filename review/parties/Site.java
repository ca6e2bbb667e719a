package parties;

import java.util.List;

/** The configuration of a small deployment, and discovery, which lists its upstreams. */
final class Site {

    private static final String SERVICES = """
            [{"name":"book-slot","aim":2500.0,"deadline":6000.0,"worth":3.0,"lateValue":0.0,
              "idempotency":"at_most_once","streamed":false},
             {"name":"change-slot","aim":2000.0,"deadline":5000.0,"worth":8.0,"lateValue":0.0,
              "idempotency":"deduplicated","group":"cell","memorySpan":7500.0,"streamed":false}]""";

    private Site() {
    }

    static String entry(int number, String address, String state) {
        return """
                {"id":"s-%08x","addr":"%s","zone":"baneshwor","kind":"fd-mid","cell":%d,"state":"%s",\
                "weight":1.0,"started_ms":0}""".formatted(0x5be20000 + number, address, number / 2, state);
    }

    static String list(long version, boolean full, List<String> entries) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":["
                + String.join(",", entries) + "]}";
    }

    /** Discovery for a list that does not change: a watch waits to its end and then tells no change. */
    static Server discovery(String ip, List<String> entries) throws java.io.IOException {
        return new Server(ip, 0, (request, connection) -> {
            String uri = request.startLine().split(" ")[1];
            long index = number(uri, "index");
            if (index >= 41) {
                Thread.sleep(Math.min(60_000, Math.max(0, number(uri, "wait"))));
                connection.answer(200, "", list(41, false, List.of()));
            } else {
                connection.answer(200, "", list(41, true, entries));
            }
        });
    }

    private static long number(String uri, String name) {
        for (String part : uri.substring(uri.indexOf('?') + 1).split("&")) {
            if (part.startsWith(name + "=")) {
                return Long.parseLong(part.substring(name.length() + 1));
            }
        }
        return 0;
    }

    /** A balancer's whole configuration, with the settings of the clinics' site. */
    static String config(String name, int position, int siblings, String listen, String discovery,
            List<String> entries) {
        return """
                {"name":"%s","listen":"%s","discovery":"%s","seed":"%016x",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,
                 "settings":{"position":%d,"siblings":%d,"tier":0,"stages":["front-desk","slot-book"],
                 "zone":0,"zones":["baneshwor"],"machineTypes":["fd-fast","fd-mid","fd-old"],
                 "registryMode":"subscribe","family":"chain","familyInfo":{"passesDeadline":false},
                 "callers":{"marksRetry":true},"worthBy":"work","overShareWorth":0.1,"weightKind":"rough",
                 "stats":{"how":"silent","fields":[]},
                 "tenants":[{"name":"kathmandu-main","fraction":0.5,"quotaPerS":60.0},
                  {"name":"lalitpur","fraction":0.5,"quotaPerS":60.0}],
                 "services":%s,
                 "limits":{"attemptsCap":6,"maxOpen":20000,"cancel":true,"parallelTries":false,"probes":true,
                  "peers":false,"retryAfter":true,"maxRetryAfter":2000.0,"connectTimeout":250.0,
                  "connIdle":30000.0,"streamsPerConn":1,"cpuUsPerRequest":0.0,"cpuUsPerS":500000},
                 "rules":{"graceToAnswer":20.0,"drainGrace":2000.0,"askEvery":10000.0,"startCapacity":0.12,
                  "warmUp":22000.0,"fallMultiple":3.0,"tipAfter":1500.0},
                 "goal":{"whole":0.7,"worstWindow":0.1,"worstClass":0.1,"worstTenant":0.1},
                 "prices":{"crossZone":0.0,"probe":0.023,"waste":0.08,"lateFail":0.067,"connection":0.0,
                  "handshake":0.0,"moves":0.0,"origin":0.0,"peer":0.0,"registryMode":0.0}}}
                """.formatted(name, listen, discovery, new java.util.Random().nextLong(),
                list(41, true, entries), position, siblings, SERVICES);
    }

    /** The head of a request; the class decides the method, which is POST for both. */
    static String head(String serviceClass, String transaction, double remainingS, int length) {
        return "POST /" + serviceClass + " HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " + transaction + "\r\nX-Lane: "
                + serviceClass + "\r\nX-Org: kathmandu-main\r\nX-Remaining: " + remainingS + "\r\n"
                + (serviceClass.equals("change-slot") ? "Idempotency-Key: k" + transaction + "\r\n" : "")
                + "Content-Length: " + length + "\r\n\r\n";
    }
}
