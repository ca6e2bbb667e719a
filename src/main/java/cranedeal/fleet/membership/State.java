package cranedeal.fleet.membership;

import java.util.Locale;

/** A member's state in a view. Within an incarnation, a later constant overrides an earlier one. */
public enum State {
    /** The member answers. */
    ALIVE,
    /** It did not answer a probe and has not refuted the suspicion yet. */
    SUSPECT,
    /** The suspicion timed out without a refutation. */
    FAULTY,
    /** It announced that it leaves. */
    LEFT;

    /** The name used in logs and views. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns true if a member in this state counts as present. */
    public boolean isPresent() {
        return this == ALIVE || this == SUSPECT;
    }
}
