package cranedeal.fleet.store;

import java.io.IOException;

/** A store can't be opened or used. The message is a single line for the operator. */
public class StoreException extends IOException {

    private static final long serialVersionUID = 1;

    StoreException(String message) {
        super(message);
    }

    StoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
