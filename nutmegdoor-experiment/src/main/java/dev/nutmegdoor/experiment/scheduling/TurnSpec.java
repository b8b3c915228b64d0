package dev.nutmegdoor.experiment.scheduling;

import java.util.List;

/**
 * One turn of a program.
 *
 * @param newTokens prompt tokens that the turn adds to the history
 * @param answerTokens tokens of the answer
 * @param pauseMs tool pause after the answer
 * @param subAgents programs that run during the pause, in parallel
 */
record TurnSpec(int newTokens, int answerTokens, long pauseMs, List<ProgramSpec> subAgents) {

}
