/** JMH benchmarks of the decision module: time and bytes allocated for each event, by the size of the tier. */
package baymoor.benchmarks;
