package cranedeal;

/** Counts the draws since the start, and the servers that they examined. */
final class DrawCounts {
    long draws;
    long examined;
}
