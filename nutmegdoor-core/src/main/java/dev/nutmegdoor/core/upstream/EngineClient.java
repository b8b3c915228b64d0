package dev.nutmegdoor.core.upstream;

import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.id.ProgramId;

/**
 * Port to model engines. Futures fail with {@link UpstreamException} and complete on the
 * control thread.
 */
public interface EngineClient {

	/**
	 * Generates text.
	 * @param upstream the engine
	 * @param request the request
	 * @param listener receives the text as it is generated
	 * @return the end of the stream
	 */
	CompletableFuture<EngineResult> generate(Upstream upstream, EngineRequest request, TokenListener listener);

	/**
	 * Cancels a stream.
	 * @param upstream the engine
	 * @param streamId identifier of the stream
	 * @return completes when the engine has acknowledged
	 */
	CompletableFuture<Void> cancel(Upstream upstream, String streamId);

	/**
	 * Releases the cached prefixes of a program.
	 * @param upstream the engine
	 * @param program the program
	 * @return completes when the engine has acknowledged
	 */
	CompletableFuture<Void> release(Upstream upstream, ProgramId program);

	/**
	 * Copies the cached prefix of a program from one engine to another.
	 * @param source engine that holds the prefix
	 * @param target engine that is to hold it
	 * @param program the program
	 * @return number of tokens copied
	 */
	CompletableFuture<Integer> copyCache(Upstream source, Upstream target, ProgramId program);

	/**
	 * Orders an engine to load a model.
	 * @param upstream the engine
	 * @param model name of the model
	 * @param fencingNumber number of the order; engines that check refuse an older one
	 * @param timeoutMs longest wait in milliseconds
	 * @return completes when the model is loaded
	 */
	CompletableFuture<Void> loadModel(Upstream upstream, String model, long fencingNumber, long timeoutMs);

}
