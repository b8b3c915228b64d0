package dev.nutmegdoor.core.upstream;

import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.ProgramId;

/**
 * A request to a model engine. It carries no key of a caller.
 *
 * @param streamId identifier under which the stream can be resumed and cancelled
 * @param model name of the model
 * @param program program whose prefix the engine may cache, or {@code null}
 * @param messagesJson whole prompt, the program's history included, as a JSON array
 * @param prefixHashes hashes of the prompt's prefixes, from short to long
 * @param promptTokens estimated tokens of the prompt
 * @param maxTokens largest number of tokens to generate
 * @param priority lower is more urgent
 */
public record EngineRequest(String streamId, String model, @Nullable ProgramId program, String messagesJson,
		List<Long> prefixHashes, int promptTokens, int maxTokens, int priority) {

	public EngineRequest {
		prefixHashes = List.copyOf(prefixHashes);
	}

}
