package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** When a caller may have written the last byte of its body, by what was read of it and when. */
class BodyArrivalTest {

    private static final int MIB = 1 << 20;

    @Test
    void aBodyThatTheKernelCanHoldMayHaveBeenWrittenWithItsHead() {
        BodyArrival body = new BodyArrival(2 * MIB);
        body.started(100);
        body.read(MIB, 200);
        body.read(MIB / 2, 5_000);
        assertEquals(100, body.earliestEnd());
    }

    @Test
    void aCallerThatHadNothingLeftToReadWroteItsLastByteLater() {
        BodyArrival body = new BodyArrival(2 * MIB);
        body.started(100);
        body.read(MIB, 200);
        body.drained(300);
        body.read(MIB / 2, 5_000);
        assertEquals(300, body.earliestEnd());
    }

    @Test
    void whatTheKernelCannotHoldWasNotWrittenYet() {
        BodyArrival body = new BodyArrival(32 * MIB);
        body.started(100);
        body.read(23 * MIB, 200);
        assertEquals(200, body.earliestEnd());
        body.read(MIB, 900);
        assertEquals(200, body.earliestEnd());
    }

    @Test
    void aBodyOfUnknownLengthWasWrittenNoEarlierThanTheKernelCouldTakeIt() {
        BodyArrival body = new BodyArrival(-1);
        body.started(0);
        for (int second = 1; second <= 20; second++) {
            body.read(MIB, second);
        }
        assertEquals(11, body.earliestEnd());
    }

    @Test
    void timeDoesNotRunBackwards() {
        BodyArrival body = new BodyArrival(-1);
        body.drained(300);
        body.started(100);
        assertEquals(300, body.earliestEnd());
    }
}
