/**
 * Durable storage of a process: a journal, its snapshots, and recovery from both. Everything that must be on
 * disk before it is acknowledged is stored here. The owners of the records define what these mean. Depends on
 * no other package of this project.
 */
package cranedeal.fleet.store;
