/** Slopes of what a balancer costs, fitted by least squares to the results of scale runs, and tested on other runs. */
package baymoor.scale.fit;
