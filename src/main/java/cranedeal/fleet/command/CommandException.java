package cranedeal.fleet.command;

/** A command failed. The message is a single line for the user. */
public final class CommandException extends Exception {

    private static final long serialVersionUID = 1;
    private final int exitCode;

    /** Ends the command with the given exit code. */
    public CommandException(int exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    int exitCode() {
        return exitCode;
    }
}
