package dev.nutmegdoor.core.configuration;

/**
 * Limits of one program, its sub-agents included.
 *
 * @param maxTokens prompt and generated tokens
 * @param maxCalls model and service calls
 * @param maxDurationMs time from opening in milliseconds
 * @param maxDepth depth of sub-agents; 0 allows none
 */
public record ProgramBudget(long maxTokens, int maxCalls, long maxDurationMs, int maxDepth) {

	/**
	 * Budget of a workspace that sets none: 55 turns of up to 110,000 tokens each, a day.
	 */
	public static final ProgramBudget DEFAULT = new ProgramBudget(6_050_000, 1_000, 86_400_000, 4);

}
