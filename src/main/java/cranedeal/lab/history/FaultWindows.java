package cranedeal.lab.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The periods in which a fault affected a process or link, or a process was down; they excuse losses. */
final class FaultWindows implements Consumer<Event> {

    /** How long the effects of a fault may last after its end, such as waiting connections and time-outs. */
    static final double AFTERMATH_MS = 5_000;

    private static final class Window {

        private final double from;
        private double to = Double.POSITIVE_INFINITY;

        Window(double from) {
            this.from = from;
        }
    }

    private final Map<String, List<Window>> windows = new HashMap<>();
    private final Map<Integer, List<Window>> openByFault = new HashMap<>();
    private final Map<String, Window> down = new HashMap<>();

    @Override
    public void accept(Event event) {
        if (event instanceof Event.Faulted fault && fault.begins()) {
            List<Window> begun = new ArrayList<>();
            fault.touched().forEach(name -> begun.add(begin(name, fault.at())));
            openByFault.put(fault.fault(), begun);
        } else if (event instanceof Event.Faulted fault) {
            openByFault.getOrDefault(fault.fault(), List.of()).forEach(span -> span.to = fault.at());
        } else if (event instanceof Event.ProcessChanged lived) {
            switch (lived.life()) {
                case KILLED, PAUSED, EXITED ->
                    down.computeIfAbsent(lived.process(), process -> begin(process, lived.at()));
                case READY, RESUMED -> {
                    Window span = down.remove(lived.process());
                    if (span != null) {
                        span.to = lived.at();
                    }
                }
                default -> { }
            }
        }
    }

    private Window begin(String name, double at) {
        Window span = new Window(at);
        windows.computeIfAbsent(name, absent -> new ArrayList<>()).add(span);
        return span;
    }

    /** Returns the name of a link. */
    static String link(String from, String to) {
        return from + '>' + to;
    }

    /** Returns true if a fault affected a link from or to the party within the period, or shortly before. */
    boolean anyLinkAffected(String party, double from, double to) {
        return windows.keySet().stream()
                .filter(name -> name.startsWith(party + '>') || name.endsWith('>' + party))
                .anyMatch(name -> affected(name, from, to));
    }

    /** Returns true if a fault affected a process or link within the period, or shortly before. */
    boolean affected(String name, double from, double to) {
        return windows.getOrDefault(name, List.of()).stream()
                .anyMatch(span -> span.from <= to && from <= span.to + AFTERMATH_MS);
    }
}
