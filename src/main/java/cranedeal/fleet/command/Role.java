package cranedeal.fleet.command;

/**
 * A subcommand of the program, annotated for picocli, that is found as a service. In this way a package that
 * no other package may depend on can still be started.
 */
public interface Role {
}
