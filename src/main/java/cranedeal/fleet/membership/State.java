package cranedeal.fleet.membership;

import java.util.Locale;

/** What a member is thought to be. At the same incarnation a later state overrides an earlier one. */
public enum State {
    /** It answers. */
    ALIVE,
    /** It did not answer somebody, and has not said otherwise yet. */
    SUSPECT,
    /** It did not answer for so long that it is taken for dead. */
    FAULTY,
    /** It has said that it leaves. */
    LEFT;

    /** The word for it in logs and views. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Whether a member in this state is counted as there. */
    public boolean isPresent() {
        return this == ALIVE || this == SUSPECT;
    }
}
