package dev.nutmegdoor.core.placement;

import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.ModelCall;
import dev.nutmegdoor.core.id.ProgramId;

/**
 * Hashes the prefixes of a prompt.
 */
@FunctionalInterface
public interface PromptHasher {

	/**
	 * Returns the chained hashes of the prompt's prefixes.
	 * @param program program of the call, or {@code null}
	 * @param call the call with its whole prompt
	 * @return one hash for each whole block, from short to long
	 */
	List<Long> hash(@Nullable ProgramId program, ModelCall call);

}
