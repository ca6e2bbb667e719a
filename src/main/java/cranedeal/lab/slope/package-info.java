/** Slopes: what a fleet costs by its size, each through repeated runs at four sizes or more. */
package cranedeal.lab.slope;
