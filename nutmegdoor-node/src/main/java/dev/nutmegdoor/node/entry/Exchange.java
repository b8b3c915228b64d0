package dev.nutmegdoor.node.entry;

import java.util.Map;
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
 * Holds one request, its response and the results of the filters that it has passed. Used
 * on the event loop of the connection, by one thread at a time.
 */
public final class Exchange {

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

	private @Nullable RoutedRequest routed;

	private TurnReservation reservation = TurnReservation.NONE;

	private boolean isRelayed;

	public Exchange(HttpServerRequest request, HttpServerResponse response, Channel channel, DecisionId decision) {
		this.request = request;
		this.response = response;
		this.channel = channel;
		this.decision = decision;
	}

	public HttpServerRequest request() {
		return this.request;
	}

	public HttpServerResponse response() {
		return this.response;
	}

	public Channel channel() {
		return this.channel;
	}

	public DecisionId decision() {
		return this.decision;
	}

	public String method() {
		return this.request.method().name();
	}

	/**
	 * Returns the path without the query.
	 * @return path, starting with a slash
	 */
	public String path() {
		String uri = this.request.uri();
		int query = uri.indexOf('?');
		return (query >= 0) ? uri.substring(0, query) : uri;
	}

	public @Nullable String header(String name) {
		return this.request.requestHeaders().get(name);
	}

	/**
	 * Returns the size of the request's target and header fields.
	 * @param bytesPerField overhead in bytes added for each field
	 * @return size in bytes, at one byte per character
	 */
	public int headerBytes(int bytesPerField) {
		int bytes = this.request.uri().length();
		for (Map.Entry<String, String> field : this.request.requestHeaders()) {
			bytes += field.getKey().length() + field.getValue().length() + bytesPerField;
		}
		return bytes;
	}

	public long elapsedMs() {
		return (System.nanoTime() - this.startedNs) / 1_000_000;
	}

	void authenticated(String presented, KeyId keyId, WorkspaceId workspaceId) {
		this.presentedKey = presented;
		this.key = keyId;
		this.workspace = workspaceId;
	}

	public KeyId key() {
		return requireAuthenticated(this.key);
	}

	public WorkspaceId workspace() {
		return requireAuthenticated(this.workspace);
	}

	public @Nullable WorkspaceId workspaceOrNull() {
		return this.workspace;
	}

	/**
	 * Returns the program of a routed request, unique over all workspaces.
	 * @return workspace and identifier of the program, or {@code null} if the request
	 * belongs to none
	 */
	public @Nullable String programOrNull() {
		String program = routed().facts().programId();
		return (program != null) ? this.workspace + "/" + program : null;
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
	 * Claims the right to write the response.
	 * @return {@code false} if a response has already begun
	 */
	public boolean beginResponse() {
		return this.isAnswered.compareAndSet(false, true);
	}

	public boolean isAnswered() {
		return this.isAnswered.get();
	}

	/**
	 * Records the route of a request that is forwarded to a replica.
	 * @param value route and metadata of the request
	 */
	public void routed(RoutedRequest value) {
		this.routed = value;
	}

	/**
	 * Records the tokens that are reserved for the request.
	 * @param value reservation to settle when the request ends
	 */
	public void reserved(TurnReservation value) {
		this.reservation = value;
	}

	public TurnReservation reservation() {
		return this.reservation;
	}

	/**
	 * Records that the scheduler has received the request and is responsible for settling
	 * its reservation.
	 */
	public void relayed() {
		this.isRelayed = true;
	}

	public boolean isRelayed() {
		return this.isRelayed;
	}

	public @Nullable RoutedRequest routedOrNull() {
		return this.routed;
	}

	/**
	 * Returns the route of a request that is forwarded to a replica.
	 * @return route and metadata of the request
	 * @throws IllegalStateException if no route has been recorded
	 */
	public RoutedRequest routed() {
		RoutedRequest value = this.routed;
		if (value == null) {
			throw new IllegalStateException("no route has been recorded for the request");
		}
		return value;
	}

	private static <T> T requireAuthenticated(@Nullable T value) {
		if (value == null) {
			throw new IllegalStateException("the request has not been authenticated");
		}
		return value;
	}

}
