package cranedeal.lab.link;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Checks delivery times of streams and datagrams in virtual time. */
class DirectionTest {

    @Test
    void streamIsDeliveredInOrderAndNeverEarly() {
        for (int seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Direction direction = new Direction(random.split());
            double delay = random.nextInt(100);
            double rate = random.nextBoolean() ? 0 : 1_000 + random.nextInt(100_000);
            direction.impair(new Impairment(false, delay, random.nextInt(50), 0.3 * random.nextDouble(), 1, 1,
                    rate));
            double now = 0;
            double last = 0;
            long bytes = 0;
            for (int i = 0; i < 200; i++) {
                now += random.nextInt(20);
                int size = random.nextInt(1_500);
                bytes += size;
                double delivery = direction.streamDelivery(now, size);
                assertTrue(delivery >= last && delivery >= now + delay);
                assertTrue(rate == 0 || delivery >= bytes * 1_000 / rate);
                last = delivery;
            }
        }
    }

    @Test
    void datagramsAreLostDuplicatedAndReorderedInTheGivenShares() {
        Direction direction = new Direction(new SplittableRandom(3));
        direction.impair(new Impairment(false, 10, 0, 0.25, 0.1, 0.2, 0));
        int[] byDeliveryCount = new int[3];
        int overtaken = 0;
        double last = 0;
        int all = 20_000;
        for (int i = 0; i < all; i++) {
            double[] deliveries = direction.datagramDeliveries(i, 100);
            byDeliveryCount[deliveries.length]++;
            overtaken += deliveries.length > 0 && deliveries[0] < last ? 1 : 0;
            last = deliveries.length > 0 ? deliveries[0] : last;
        }
        assertEquals(0.25, byDeliveryCount[0] / (double) all, 0.02);
        assertEquals(0.075, byDeliveryCount[2] / (double) all, 0.02);
        assertTrue(overtaken > all / 20, overtaken + " overtaken");
    }

    @Test
    void sameSeedGivesSameDeliveryTimes() {
        double[][] runs = new double[2][100];
        for (double[] run : runs) {
            Direction direction = new Direction(new SplittableRandom(9));
            direction.impair(new Impairment(false, 5, 50, 0.2, 0, 0, 0));
            for (int i = 0; i < run.length; i++) {
                run[i] = direction.streamDelivery(i * 10, 10);
            }
        }
        assertArrayEquals(runs[0], runs[1]);
    }

    @Test
    void impairmentsOutOfRangeAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> new Impairment(false, -1, 0, 0, 0, 0, 0));
        assertThrows(IllegalArgumentException.class, () -> new Impairment(false, 0, 0, 1.1, 0, 0, 0));
        assertThrows(IllegalArgumentException.class, () -> new Impairment(false, 0, 0, 0, 0, 0, Double.NaN));
    }
}
