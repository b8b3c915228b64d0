package dev.nutmegdoor.core.explain;

/**
 * Size of the decision log.
 *
 * @param recorded records since the start of the instance
 * @param keptRefusals kept records of refusals
 * @param keptRefusalBytes memory of kept refusals in bytes
 * @param keptOthers kept records of other decisions
 * @param keptOtherBytes memory of other kept records in bytes
 * @param maxBytes bound of the memory in bytes
 */
public record DecisionLogDump(long recorded, int keptRefusals, long keptRefusalBytes, int keptOthers,
		long keptOtherBytes, long maxBytes) {

}
