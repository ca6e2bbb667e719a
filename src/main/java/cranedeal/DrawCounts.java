package cranedeal;

/** How many draws there were since the start, and how many servers they looked at: what a draw costs. */
final class DrawCounts {
    long draws;
    long examined;
}
