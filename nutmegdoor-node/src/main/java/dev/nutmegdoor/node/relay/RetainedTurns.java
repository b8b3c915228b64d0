package dev.nutmegdoor.node.relay;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;

import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.conversation.Chain;
import dev.nutmegdoor.core.conversation.ChainMemory;
import dev.nutmegdoor.core.conversation.ConversationClient;
import dev.nutmegdoor.core.conversation.ConversationException;
import dev.nutmegdoor.core.conversation.StoredTurn;
import dev.nutmegdoor.core.conversation.TurnKey;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.route.RequestMetadata;
import dev.nutmegdoor.node.entry.ControlBridge;
import dev.nutmegdoor.node.entry.Exchange;
import dev.nutmegdoor.node.entry.RefusalException;
import dev.nutmegdoor.node.entry.RoutedRequest;

/**
 * Composes the bodies of turns on retained routes from the turns before them, and stores
 * turns whose response has ended.
 */
final class RetainedTurns {

	/**
	 * Time in milliseconds after which a client may retry while it is not certain whether
	 * a turn exists: members that restart answer after a few hundred milliseconds.
	 */
	private static final long RETRY_AFTER_MS = 200;

	/**
	 * Maximum time for reading a chain in milliseconds; within it, two members may fail
	 * to answer.
	 */
	private static final long READ_LIMIT_MS = 2_500;

	/** Maximum size of an input in bytes, so that there is room for an output. */
	private static final int MAX_INPUT_BYTES = ConversationClient.MAX_TURN_BYTES * 3 / 4;

	private static final int MAX_ID_LENGTH = 128;

	private static final char FIRST_PRINTABLE = ' ';

	private static final char LAST_PRINTABLE = '~';

	private final ConversationClient client;

	private final ChainMemory memory;

	private final ControlBridge control;

	private final Executor eventLoop;

	private final MetricRegistry metrics;

	private final EventLog events;

	private final BooleanSupplier hasMembers;

	/**
	 * Creates the component.
	 * @param client stores and reads turns; used on the control thread
	 * @param memory bounds the memory of composed bodies
	 * @param control runs tasks on the control thread
	 * @param eventLoop event loop of the connections
	 * @param metrics receives counts and durations
	 * @param events receives an event for each turn that is not stored
	 * @param hasMembers returns whether a member is known; called on the event loop
	 */
	RetainedTurns(ConversationClient client, ChainMemory memory, ControlBridge control, Executor eventLoop,
			MetricRegistry metrics, EventLog events, BooleanSupplier hasMembers) {
		this.client = client;
		this.memory = memory;
		this.control = control;
		this.eventLoop = eventLoop;
		this.metrics = metrics;
		this.events = events;
		this.hasMembers = hasMembers;
	}

	/**
	 * Checks the header of a request before its body is read.
	 * @param metadata metadata from the header
	 * @return the reason for which the request is refused, or {@code null}
	 */
	static @Nullable Refusal check(RequestMetadata metadata) {
		if (metadata.resumeAfterEvent() > 0) {
			return Refusal.notRun(RefusalReason.NOT_RESUMABLE, "turns that are kept can't be resumed", 0);
		}
		String previous = metadata.previousTurn();
		if (previous != null && !isIdentifier(previous)) {
			return Refusal.notRun(RefusalReason.TURN_NOT_FOUND,
					"the identifier of the previous turn must have 1 to 128 printable ASCII characters", 0);
		}
		return null;
	}

	/**
	 * Reads the chain that a request continues and composes the body for the replica.
	 * @param exchange request on a retained route
	 * @param input complete body of the request
	 * @return the turn, whose memory must be released; fails with
	 * {@link RefusalException} if there is no such chain, or if that is not certain
	 */
	Mono<RetainedTurn> compose(Exchange exchange, byte[] input) {
		RoutedRequest routed = exchange.routed();
		if (input.length > MAX_INPUT_BYTES) {
			return refuse(RefusalReason.REQUEST_TOO_LARGE, "an input may have at most " + MAX_INPUT_BYTES + " bytes",
					0);
		}
		// The replica's work would be lost, because the turn could not be stored.
		if (!this.hasMembers.getAsBoolean()) {
			return refuse(RefusalReason.TURN_UNCERTAIN, "no member that keeps turns is known yet", RETRY_AFTER_MS);
		}
		String previous = routed.facts().previousTurn();
		if (previous == null) {
			String program = routed.facts().programId();
			return Mono
				.just(turn(exchange, null, (program != null) ? program : routed.attemptId(), input, input, () -> {
				}));
		}
		MemoryLease lease = new MemoryLease();
		return read(exchange, previous, routed.table().limits().maxBodyBytes() - input.length, lease)
			.flatMap((chain) -> {
				if (!this.memory.reserve(input.length)) {
					return refuse(RefusalReason.OVERLOADED, "all memory for bodies is in use", RETRY_AFTER_MS);
				}
				lease.hold(input.length);
				return Mono.just(turn(exchange, previous, chain.group(), input, chain.compose(input), lease::release));
			})
			.doOnError((error) -> lease.release())
			.doOnCancel(lease::release);
	}

	private Mono<Chain> read(Exchange exchange, String previous, int maxBytes, MemoryLease lease) {
		RoutedRequest routed = exchange.routed();
		String program = routed.facts().programId();
		TurnKey key = new TurnKey(workspaceOf(exchange), previous);
		long startedNs = System.nanoTime();
		long limitMs = Math.max(1, Math.min(READ_LIMIT_MS, routed.timeoutMs() - exchange.elapsedMs()));
		return this.control.call(exchange, () -> this.client.read(key, (program != null) ? program : previous, maxBytes)
			.whenComplete((chain, error) -> {
				if (chain != null) {
					lease.hold(chain.bytes());
				}
			})).timeout(Duration.ofMillis(limitMs)).doOnNext((chain) -> {
				this.metrics.counter("turns.chains.read").inc();
				this.metrics.timer("turns.read").update(Duration.ofNanos(System.nanoTime() - startedNs));
			}).onErrorMap((error) -> new RefusalException(refusalOf(error, limitMs)));
	}

	private Refusal refusalOf(Throwable error, long limitMs) {
		if (error instanceof ConversationException failed) {
			this.metrics.counter("turns.chains." + failed.failure().metricName()).inc();
			String detail = String.valueOf(failed.getMessage());
			return switch (failed.failure()) {
				case NOT_FOUND -> Refusal.notRun(RefusalReason.TURN_NOT_FOUND, "there is no such previous turn", 0);
				case TOO_LARGE -> Refusal.notRun(RefusalReason.REQUEST_TOO_LARGE, detail, 0);
				case NO_MEMORY -> Refusal.notRun(RefusalReason.OVERLOADED, detail, RETRY_AFTER_MS);
				case UNCERTAIN, NOT_STORED ->
					Refusal.notRun(RefusalReason.TURN_UNCERTAIN, "the previous turn can't be read now", RETRY_AFTER_MS);
			};
		}
		this.metrics.counter("turns.chains.uncertain").inc();
		String detail = (error instanceof TimeoutException)
				? "the previous turn could not be read within " + limitMs + " ms"
				: "the previous turn could not be read: " + error;
		return Refusal.notRun(RefusalReason.TURN_UNCERTAIN, detail, RETRY_AFTER_MS);
	}

	private static RetainedTurn turn(Exchange exchange, @Nullable String previous, String group, byte[] input,
			byte[] body, Runnable release) {
		RoutedRequest routed = exchange.routed();
		String id = routed.facts().attemptId();
		TurnKey key = (id != null && isIdentifier(id)) ? new TurnKey(workspaceOf(exchange), id) : null;
		return new RetainedTurn(key, previous, group, input, body, routed.route().retentionMs(), release);
	}

	/**
	 * Stores a turn whose response has ended completely.
	 * @param turn the turn
	 * @param recorder data of the response
	 * @param listener called on the event loop with {@code true} if the turn is stored,
	 * so that its client may see the end of the response
	 */
	void store(RetainedTurn turn, EventDataRecorder recorder, Consumer<Boolean> listener) {
		TurnKey key = turn.key();
		if (key == null) {
			listener.accept(true);
			return;
		}
		if (recorder.isTooLarge()) {
			this.metrics.counter("turns.not-stored").inc();
			this.events.record("turn.not-stored", "turn", key.id(), "workspace", key.workspace(), "group", turn.group(),
					"inputBytes", turn.input().length, "detail", "the output is too large");
			listener.accept(false);
			return;
		}
		long startedNs = System.nanoTime();
		byte[] output = recorder.data();
		this.control.execute(() -> storeAt(turn.toStored(key, output)).whenComplete((stored, error) -> {
			this.metrics.counter((error != null) ? "turns.not-stored" : "turns.stored").inc();
			this.metrics.timer("turns.store").update(Duration.ofNanos(System.nanoTime() - startedNs));
			this.eventLoop.execute(() -> listener.accept(error == null));
		}));
	}

	// The response must end even if the client fails unexpectedly.
	private CompletableFuture<Void> storeAt(StoredTurn turn) {
		try {
			return this.client.store(turn);
		}
		catch (RuntimeException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	static EventDataRecorder recorderFor(RetainedTurn turn) {
		return new EventDataRecorder(ConversationClient.MAX_TURN_BYTES - turn.input().length);
	}

	private static String workspaceOf(Exchange exchange) {
		WorkspaceId workspace = exchange.workspaceOrNull();
		return (workspace != null) ? workspace.value() : "";
	}

	private static boolean isIdentifier(String text) {
		return !text.isEmpty() && text.length() <= MAX_ID_LENGTH
				&& text.chars().allMatch((character) -> character >= FIRST_PRINTABLE && character <= LAST_PRINTABLE);
	}

	private static <T> Mono<T> refuse(RefusalReason reason, String detail, long retryAfterMs) {
		return Mono.error(new RefusalException(Refusal.notRun(reason, detail, retryAfterMs)));
	}

	/**
	 * Memory of one composed body. What is added after the release, because the request
	 * ended while its chain was read, is released at once.
	 */
	private final class MemoryLease {

		private long bytes;

		private boolean isReleased;

		private synchronized void hold(long added) {
			if (this.isReleased) {
				RetainedTurns.this.memory.release(added);
			}
			else {
				this.bytes += added;
			}
		}

		private synchronized void release() {
			if (!this.isReleased) {
				this.isReleased = true;
				RetainedTurns.this.memory.release(this.bytes);
			}
		}

	}

}
