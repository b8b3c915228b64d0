package dev.nutmegdoor.core.upstream;

import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.ProgramId;

/**
 * A request to a model engine. It doesn't contain the API key of the caller.
 *
 * @param streamId identifier under which the stream can be resumed and cancelled
 * @param model name of the model
 * @param program program whose prefix the engine may cache, or {@code null}
 * @param messagesJson entire prompt, including the history of the program, as a JSON
 * array
 * @param prefixHashes hashes of the prefixes of the prompt, from the shortest to the
 * longest
 * @param promptTokens estimated number of tokens of the prompt
 * @param maxTokens maximum number of tokens to generate
 * @param priority priority of the call; lower is more urgent
 */
public record EngineRequest(String streamId, String model, @Nullable ProgramId program, String messagesJson,
		List<Long> prefixHashes, int promptTokens, int maxTokens, int priority) {

	public EngineRequest {
		prefixHashes = List.copyOf(prefixHashes);
	}

}
