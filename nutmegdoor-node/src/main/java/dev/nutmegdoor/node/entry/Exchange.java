package dev.nutmegdoor.node.entry;

import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.channel.Channel;
import org.jspecify.annotations.Nullable;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import dev.nutmegdoor.core.id.DecisionId;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.limit.Admission;

/**
 * One request and its answer on their way through the filter chain. Used by the event
 * loop of the connection, one thread at a time.
 */
final class Exchange {

	private final HttpServerRequest request;

	private final HttpServerResponse response;

	private final Channel channel;

	private final DecisionId decision;

	private final long startedNs = System.nanoTime();

	private final AtomicBoolean isAnswered = new AtomicBoolean();

	private @Nullable String presentedKey;

	private @Nullable KeyId key;

	private @Nullable WorkspaceId workspace;

	private @Nullable Admission admission;

	Exchange(HttpServerRequest request, HttpServerResponse response, Channel channel, DecisionId decision) {
		this.request = request;
		this.response = response;
		this.channel = channel;
		this.decision = decision;
	}

	HttpServerRequest request() {
		return this.request;
	}

	HttpServerResponse response() {
		return this.response;
	}

	Channel channel() {
		return this.channel;
	}

	DecisionId decision() {
		return this.decision;
	}

	String method() {
		return this.request.method().name();
	}

	/**
	 * Returns the path without the query.
	 * @return the path, starting with a slash
	 */
	String path() {
		String uri = this.request.uri();
		int query = uri.indexOf('?');
		return (query >= 0) ? uri.substring(0, query) : uri;
	}

	@Nullable String header(String name) {
		return this.request.requestHeaders().get(name);
	}

	long elapsedMs() {
		return (System.nanoTime() - this.startedNs) / 1_000_000;
	}

	void authenticated(String presented, KeyId keyId, WorkspaceId workspaceId) {
		this.presentedKey = presented;
		this.key = keyId;
		this.workspace = workspaceId;
	}

	KeyId key() {
		return required(this.key);
	}

	WorkspaceId workspace() {
		return required(this.workspace);
	}

	@Nullable WorkspaceId workspaceOrNull() {
		return this.workspace;
	}

	@Nullable String presentedKey() {
		return this.presentedKey;
	}

	void admitted(Admission value) {
		this.admission = value;
	}

	@Nullable Admission admission() {
		return this.admission;
	}

	/**
	 * Claims the right to answer.
	 * @return {@code false} if an answer was begun before
	 */
	boolean beginAnswer() {
		return this.isAnswered.compareAndSet(false, true);
	}

	boolean isAnswered() {
		return this.isAnswered.get();
	}

	private static <T> T required(@Nullable T value) {
		if (value == null) {
			throw new IllegalStateException("the request has not been authenticated");
		}
		return value;
	}

}
