/** Studies that measure how a fleet's costs grow with its size, by repeated runs at four or more sizes. */
package cranedeal.lab.slope;
