package cranedeal.fleet.store;

/** Acknowledged records can't be read any more. The files were not changed. */
public final class StoreDamagedException extends StoreException {

    private static final long serialVersionUID = 1;
    private final String file;
    private final long offset;

    StoreDamagedException(String file, long offset, String reason) {
        super(file + " is damaged at byte " + offset + ": " + reason
                + "; 'fleet store verify' shows the state, 'fleet store repair' truncates the store there");
        this.file = file;
        this.offset = offset;
    }

    /** The name of the damaged file. */
    public String file() {
        return file;
    }

    /** The offset in bytes at which the damage begins. */
    public long offset() {
        return offset;
    }
}
