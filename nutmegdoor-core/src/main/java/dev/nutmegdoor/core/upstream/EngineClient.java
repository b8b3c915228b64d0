package dev.nutmegdoor.core.upstream;

import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.id.ProgramId;

/**
 * Client of model engines. The returned futures complete on the control thread and fail
 * with {@link UpstreamException}.
 */
public interface EngineClient {

	/**
	 * Generates text.
	 * @param upstream engine that generates the text
	 * @param request prompt and limits of the generation
	 * @param listener receives the text as it is generated
	 * @return completes with the entire text and the token counts when the stream ends
	 */
	CompletableFuture<EngineResult> generate(Upstream upstream, EngineRequest request, TokenListener listener);

	/**
	 * Cancels a stream.
	 * @param upstream engine that generates the stream
	 * @param streamId identifier from {@link EngineRequest#streamId()}
	 * @return completes when the engine has acknowledged
	 */
	CompletableFuture<Void> cancel(Upstream upstream, String streamId);

	/**
	 * Releases the cached prefixes of a program.
	 * @param upstream engine that has cached the prefixes
	 * @param program program that sends no further requests
	 * @return completes when the engine has acknowledged
	 */
	CompletableFuture<Void> release(Upstream upstream, ProgramId program);

	/**
	 * Copies the cached prefix of a program from one engine to another.
	 * @param source engine that has cached the prefix
	 * @param target engine that receives the copy
	 * @param program program whose prefix is copied
	 * @return completes with the number of tokens copied
	 */
	CompletableFuture<Integer> copyCache(Upstream source, Upstream target, ProgramId program);

	/**
	 * Loads a model on an engine.
	 * @param upstream engine that loads the model
	 * @param model name of the model
	 * @param fencingNumber fencing token of the order; an engine that checks fencing
	 * tokens rejects a lower one than it has received before
	 * @param timeoutMs maximum wait in milliseconds
	 * @return completes when the model is loaded
	 */
	CompletableFuture<Void> loadModel(Upstream upstream, String model, long fencingNumber, long timeoutMs);

}
