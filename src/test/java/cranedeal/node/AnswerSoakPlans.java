package cranedeal.node;

import cranedeal.node.AnswerPlan.End;
import cranedeal.node.AnswerPlan.Framing;
import cranedeal.node.AnswerPlan.Piece;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Draws the answers of a soak. */
final class AnswerSoakPlans {

    /** How an answer is given; one that is {@code PROMPT} comes twice as often as all others together. */
    private enum Shape {
        PROMPT, STEADY, LATE_BODY, VERY_LATE_BODY, PIECES, HEAD_ALONE, START_ALONE, NEARLY_LONG, DRIP, RESET,
        LATE_HEAD
    }

    private static final int LONG_MIN_BYTES = 70_000;
    private static final int LONG_MAX_BYTES = 200_000;
    /** 70 kB a second. */
    private static final int STEADY_BYTES = 3_500;
    private static final int STEADY_EVERY_MS = 50;

    private AnswerSoakPlans() {
    }

    static AnswerPlan draw(Random random) {
        Shape[] shapes = Shape.values();
        Shape shape = random.nextInt(3) < 2 ? Shape.PROMPT : shapes[random.nextInt(1, shapes.length)];
        Framing framing = Framing.values()[random.nextInt(Framing.values().length)];
        int longBytes = random.nextInt(LONG_MIN_BYTES, LONG_MAX_BYTES);
        return switch (shape) {
            case PROMPT -> {
                int bytes = random.nextInt(1, 20_000);
                yield AnswerPlan.steady(framing, bytes, 0, bytes, 0);
            }
            case STEADY -> steady(framing, longBytes, 0);
            case LATE_BODY -> steady(framing, longBytes, random.nextInt(400, 1_500));
            case VERY_LATE_BODY -> steady(Framing.LENGTH, longBytes, random.nextInt(2_500, 4_000));
            case PIECES -> new AnswerPlan(framing, longBytes, 0, pieces(random, longBytes), End.WHOLE);
            case HEAD_ALONE -> unended(framing, random.nextBoolean() ? longBytes : 1_000, List.of());
            case START_ALONE -> unended(framing, 60_000, List.of(new Piece(0, 5)));
            case NEARLY_LONG -> unended(framing, AnswerPlan.SHORT_BYTES,
                    List.of(new Piece(0, AnswerPlan.SHORT_BYTES - 100)));
            case DRIP -> unended(framing, 60_000, drips(random));
            case RESET -> new AnswerPlan(framing, longBytes, 0, List.of(new Piece(0, 1_000),
                    new Piece(random.nextInt(1_000), 10_000)), End.RESET);
            case LATE_HEAD -> new AnswerPlan(framing, 2_000, random.nextInt(200, 1_500),
                    List.of(new Piece(random.nextInt(200), 2_000)), End.WHOLE);
        };
    }

    private static AnswerPlan steady(Framing framing, int bytes, int bodyAfterMs) {
        return AnswerPlan.steady(framing, bytes, bodyAfterMs, STEADY_BYTES, STEADY_EVERY_MS);
    }

    private static AnswerPlan unended(Framing framing, int length, List<Piece> pieces) {
        return new AnswerPlan(framing, length, 0, pieces, End.SILENCE);
    }

    private static List<Piece> pieces(Random random, int bytes) {
        List<Piece> pieces = new ArrayList<>();
        for (int left = bytes; left > 0; left -= pieces.get(pieces.size() - 1).bytes()) {
            int piece = Math.min(left, random.nextInt(500, 40_000));
            pieces.add(new Piece(pieces.isEmpty() ? 0 : random.nextInt(200, 700), piece));
        }
        return pieces;
    }

    private static List<Piece> drips(Random random) {
        List<Piece> pieces = new ArrayList<>();
        int everyMs = random.nextInt(50, 400);
        for (int i = 0; i < 40; i++) {
            pieces.add(new Piece(everyMs, 1));
        }
        return pieces;
    }
}
