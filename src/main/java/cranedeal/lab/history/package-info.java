/**
 * The recorded events of an experiment and the checkers that read them. A checker sees only the events, in
 * their order: no log text, socket or clock. A checker for a new kind of rule (duties, views, records) adds
 * its own kind of event.
 */
package cranedeal.lab.history;
