package cranedeal.lab.slope;

import cranedeal.lab.standin.AnswerFault;
import cranedeal.lab.standin.DiscoveryPace;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A fault of discovery around a change of the upstream list.
 *
 * @param pace how slow discovery is, from some seconds before the change on
 * @param faults faults of the first answers that contain the change
 */
record DiscoveryTrouble(DiscoveryPace pace, List<AnswerFault> faults) {

    /** The accepted forms, for help and error texts. */
    static final String FORMS = "none, slow:MS, turn:MS, or silent, half, endless, cut:TIMES[:MS]";
    private static final Pattern SLOW = Pattern.compile("(slow|turn):(\\d{1,6})");
    private static final Pattern FAULT = Pattern.compile(
            "(silent|half|endless|cut):(\\d{1,3})(?::(\\d{1,6}))?");

    /** Parses {@link #FORMS}; throws {@link IllegalArgumentException} for anything else. */
    static DiscoveryTrouble parse(String text) {
        Matcher slow = SLOW.matcher(text);
        if (slow.matches()) {
            double ms = Double.parseDouble(slow.group(2));
            boolean inTurn = slow.group(1).equals("turn");
            return new DiscoveryTrouble(DiscoveryPace.patient(inTurn ? ms : 0, inTurn ? 0 : ms), List.of());
        }
        Matcher fault = FAULT.matcher(text);
        if (fault.matches()) {
            double afterMs = fault.group(3) == null ? 0 : Double.parseDouble(fault.group(3));
            AnswerFault one = new AnswerFault(
                    AnswerFault.Kind.valueOf(fault.group(1).toUpperCase(Locale.ROOT)), afterMs);
            return new DiscoveryTrouble(DiscoveryPace.ofCalls(0),
                    Collections.nCopies(Integer.parseInt(fault.group(2)), one));
        }
        if (text.equals("none")) {
            return new DiscoveryTrouble(DiscoveryPace.ofCalls(0), List.of());
        }
        throw new IllegalArgumentException(text + ": expected " + FORMS);
    }
}
