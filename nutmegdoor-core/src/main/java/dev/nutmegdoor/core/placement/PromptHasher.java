package dev.nutmegdoor.core.placement;

import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.ModelCall;
import dev.nutmegdoor.core.id.ProgramId;

/**
 * Computes hashes that identify the prefixes of a prompt.
 */
@FunctionalInterface
public interface PromptHasher {

	/**
	 * Returns one hash for each prefix that consists of complete blocks. Each hash also
	 * depends on all preceding blocks.
	 * @param program program of the call, or {@code null} if it has none
	 * @param call call that contains the entire prompt
	 * @return the hashes, the shortest prefix first
	 */
	List<Long> hash(@Nullable ProgramId program, ModelCall call);

}
