package cranedeal.fleet.store;

/** Another process has the folder now. */
public final class StoreInUseException extends StoreException {

    private static final long serialVersionUID = 1;

    StoreInUseException(Disk disk) {
        super(disk + " is in use by another process");
    }
}
