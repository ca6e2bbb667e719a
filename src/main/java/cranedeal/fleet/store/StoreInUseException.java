package cranedeal.fleet.store;

/** The folder is locked by another process. */
public final class StoreInUseException extends StoreException {

    private static final long serialVersionUID = 1;

    StoreInUseException(Disk disk) {
        super(disk + " is in use by another process");
    }
}
