package cranedeal.fleet.store;

/** What was acknowledged can't be read any more; nothing was changed. */
public final class StoreDamagedException extends StoreException {

    private static final long serialVersionUID = 1;
    private final String file;
    private final long offset;

    StoreDamagedException(String file, long offset, String what) {
        super(file + " is damaged at byte " + offset + ": " + what
                + "; 'fleet store verify' shows what is left, 'fleet store repair' cuts there");
        this.file = file;
        this.offset = offset;
    }

    /** The file that is damaged. */
    public String file() {
        return file;
    }

    /** Where its damage begins, in bytes. */
    public long offset() {
        return offset;
    }
}
