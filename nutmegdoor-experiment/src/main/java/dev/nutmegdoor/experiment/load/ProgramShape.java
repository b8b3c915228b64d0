package dev.nutmegdoor.experiment.load;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Structure of one kind of program, which the scheduler does not know.
 *
 * @param workKind kind of work
 * @param weight share among the programs of a workspace
 * @param turns model turns
 * @param promptCharacters characters that each turn adds to the prompt
 * @param maxTokens tokens generated in each turn
 * @param meanPauseMs mean duration of the tool pause between two turns
 * @param tool operation called in a pause, or {@code null}
 * @param hasSubAgent whether the program runs a sub-agent of one turn
 * @param finalOperations operations at the end, in order
 */
public record ProgramShape(String workKind, int weight, int turns, int promptCharacters, int maxTokens, int meanPauseMs,
		@Nullable OperationShape tool, boolean hasSubAgent, List<OperationShape> finalOperations) {

	public ProgramShape {
		finalOperations = List.copyOf(finalOperations);
	}

	/**
	 * Returns the number of requests of one program.
	 * @return opening and closing included
	 */
	int requests() {
		int tools = (this.tool != null) ? this.turns - 1 : 0;
		return 2 + this.turns + tools + (this.hasSubAgent ? 3 : 0) + this.finalOperations.size();
	}

}
