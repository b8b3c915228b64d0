package dev.nutmegdoor.experiment.processor;

/**
 * One measured quantity of one build.
 *
 * @param quantity what was measured
 * @param build name of the build
 * @param value processor time, in the unit of the quantity
 * @param ratio value divided by that of the first build in the same run
 */
public record ProcessorRow(String quantity, String build, double value, double ratio) {

}
