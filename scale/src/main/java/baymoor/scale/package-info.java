/** Runs of a whole tier of balancers on one machine, and what each balancer costs there. */
package baymoor.scale;
