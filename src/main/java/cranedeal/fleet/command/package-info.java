/**
 * The command line: arguments, help, exit codes, and the operators' commands. A command calls another
 * package, which holds the logic, and prints the result. May depend on all packages of the fleet. The lab's
 * commands are found as services, since no package may depend on the lab.
 */
package cranedeal.fleet.command;
