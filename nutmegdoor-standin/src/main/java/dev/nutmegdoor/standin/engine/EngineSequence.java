package dev.nutmegdoor.standin.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.upstream.EngineRequest;
import dev.nutmegdoor.core.upstream.EngineResult;
import dev.nutmegdoor.core.upstream.TokenListener;

/**
 * A request on its way through an engine.
 */
final class EngineSequence {

	private static final String[] WORDS = { "pipe ", "ya ", "quote ", "sauti ", "valve ", "neno ", "flange ", "kwa " };

	final EngineRequest request;

	final String owner;

	final long order;

	final int answerTokens;

	final boolean isHanging;

	final int failAfterTokens;

	final CompletableFuture<EngineResult> future = new CompletableFuture<>();

	private final List<TokenListener> listeners = new ArrayList<>(1);

	private final StringBuilder text = new StringBuilder();

	int cachedTokens;

	int remainingPrefill;

	int chunk;

	int generatedTokens;

	boolean isEnded;

	EngineSequence(EngineRequest request, long order, int answerTokens, boolean isHanging, int failAfterTokens) {
		this.request = request;
		this.owner = ownerOf(request);
		this.order = order;
		this.answerTokens = answerTokens;
		this.isHanging = isHanging;
		this.failAfterTokens = failAfterTokens;
		this.remainingPrefill = request.promptTokens();
	}

	private static String ownerOf(EngineRequest request) {
		if (request.program() != null) {
			return request.program().toString();
		}
		List<Long> hashes = request.prefixHashes();
		return hashes.isEmpty() ? request.streamId() : "#" + Long.toHexString(hashes.get(hashes.size() - 1));
	}

	int totalTokens() {
		return this.request.promptTokens() + this.answerTokens;
	}

	void attach(TokenListener listener, int fromOffset) {
		if (fromOffset < this.text.length()) {
			listener.generated(fromOffset, this.text.substring(fromOffset), 0);
		}
		this.listeners.add(listener);
	}

	void emit() {
		int offset = this.text.length();
		// Depends on the prompt and the position only, so that a repeated request gets
		// the same answer.
		String word = WORDS[Math.floorMod(this.request.promptTokens() * 31 + this.generatedTokens * 7, WORDS.length)];
		this.text.append(word);
		this.generatedTokens++;
		for (TokenListener listener : this.listeners) {
			listener.generated(offset, word, 1);
		}
	}

	EngineResult result() {
		return new EngineResult(this.text.toString(), this.request.promptTokens(), this.cachedTokens,
				this.generatedTokens);
	}

}
