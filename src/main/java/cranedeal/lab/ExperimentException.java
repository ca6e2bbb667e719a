package cranedeal.lab;

/** Thrown for an invalid experiment file; the message names file, line and key. */
final class ExperimentException extends Exception {

    private static final long serialVersionUID = 1;

    ExperimentException(String message) {
        super(message);
    }
}
