package dev.nutmegdoor.core.configuration;

/**
 * Limits for one program including its sub-agents.
 *
 * @param maxTokens maximum number of prompt and generated tokens
 * @param maxCalls maximum number of model and service calls
 * @param maxDurationMs maximum time since the program was opened in milliseconds
 * @param maxDepth maximum nesting depth of sub-agents; 0 allows none
 */
public record ProgramBudget(long maxTokens, int maxCalls, long maxDurationMs, int maxDepth) {

	/**
	 * Budget of a workspace that configures none: 55 turns of up to 110,000 tokens each
	 * within a day.
	 */
	public static final ProgramBudget DEFAULT = new ProgramBudget(6_050_000, 1_000, 86_400_000, 4);

}
