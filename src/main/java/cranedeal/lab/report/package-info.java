/**
 * Evaluates recorded histories: results, an HTML report with plots, and the comparison of runs. It reads
 * events and writes files, but runs no experiment.
 */
package cranedeal.lab.report;
