package dev.nutmegdoor.core.explain;

/**
 * Size of the decision log for the state dump.
 *
 * @param recorded records received since the start of the instance
 * @param keptRefusals number of retained records of refusals
 * @param keptRefusalBytes memory of retained refusals in bytes
 * @param keptOthers number of retained records of other decisions
 * @param keptOtherBytes memory of other retained records in bytes
 * @param maxBytes memory limit in bytes
 */
public record DecisionLogDump(long recorded, int keptRefusals, long keptRefusalBytes, int keptOthers,
		long keptOtherBytes, long maxBytes) {

}
