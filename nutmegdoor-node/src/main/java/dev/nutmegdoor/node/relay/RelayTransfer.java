package dev.nutmegdoor.node.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;
import reactor.core.Disposable;

import dev.nutmegdoor.core.call.CallHandle;
import dev.nutmegdoor.core.call.Relay;
import dev.nutmegdoor.core.call.RelayEnd;
import dev.nutmegdoor.core.call.RelayListener;
import dev.nutmegdoor.core.call.RelayOutcome;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.limit.RequestStage;
import dev.nutmegdoor.core.route.ResponseMetadata;
import dev.nutmegdoor.node.entry.ControlBridge;
import dev.nutmegdoor.node.entry.Exchange;
import dev.nutmegdoor.node.entry.RoutedRequest;

/**
 * Moves the bytes of one request and its answer. {@link #send} is called on the control
 * thread, everything else runs on the event loop.
 */
final class RelayTransfer implements Relay {

	/** Urgency of the most urgent route; engines take 5 where nothing is said. */
	private static final int FIRST_URGENCY = 3;

	private static final int LAST_URGENCY = 9;

	private final Exchange exchange;

	private final byte[] body;

	private final RelayResponse answer;

	private final UpstreamPool pool;

	private final ControlBridge control;

	private final EventLog events;

	private final int tokensPerEvent;

	private volatile long sentMs;

	/**
	 * Creates a transfer.
	 * @param exchange the client's request
	 * @param body its whole body
	 * @param answer receives the answer
	 * @param pool connections to replicas
	 * @param control way to the control thread
	 * @param events receives each send
	 * @param tokensPerEvent tokens that one event of the answer stands for; 0 if the
	 * answer is no stream
	 */
	RelayTransfer(Exchange exchange, byte[] body, RelayResponse answer, UpstreamPool pool, ControlBridge control,
			EventLog events, int tokensPerEvent) {
		this.exchange = exchange;
		this.body = body;
		this.answer = answer;
		this.pool = pool;
		this.control = control;
		this.events = events;
		this.tokensPerEvent = tokensPerEvent;
	}

	@Override
	public CallHandle send(Upstream upstream, long timeLeftMs, RelayListener listener) {
		this.sentMs = this.exchange.elapsedMs();
		Send send = new Send(upstream, timeLeftMs, listener);
		this.pool.eventLoop().execute(send::start);
		return () -> this.pool.eventLoop().execute(send::cancel);
	}

	private RoutedRequest routed() {
		return this.exchange.routed();
	}

	/**
	 * One send to one replica.
	 */
	private final class Send implements UpstreamExchange {

		private final Upstream upstream;

		private final long timeLeftMs;

		private final RelayListener listener;

		private final ServerSentEventCounter counter = new ServerSentEventCounter();

		private HttpHeaders headers = HopByHopHeaders.without(RelayTransfer.this.exchange.request().requestHeaders());

		private RelayOutcome outcome = RelayOutcome.BROKEN;

		private @Nullable Disposable pending;

		private @Nullable UpstreamConnection connection;

		private @Nullable HttpResponseStatus status;

		private RelayEnd.@Nullable ReportedLoad load;

		private boolean isPassedOn;

		private boolean isOver;

		private Send(Upstream upstream, long timeLeftMs, RelayListener listener) {
			this.upstream = upstream;
			this.timeLeftMs = timeLeftMs;
			this.listener = listener;
		}

		private void start() {
			if (this.isOver) {
				return;
			}
			Disposable waiting = RelayTransfer.this.pool.acquire(this.upstream, this::connected, (reason) -> {
				if (!this.isOver) {
					end(RelayOutcome.NOT_CONNECTED, reason);
				}
			});
			if (this.connection == null) {
				this.pending = waiting;
			}
		}

		private void connected(UpstreamConnection established) {
			if (this.isOver) {
				RelayTransfer.this.pool.release(established);
				return;
			}
			this.connection = established;
			established.send(this);
		}

		private void cancel() {
			if (this.isOver) {
				return;
			}
			this.isOver = true;
			RelayTransfer.this.exchange.reservation().tokensDelivered(tokens());
			RelayTransfer.this.events.record("request.send-cancelled", "attempt", routed().attemptId(), "decision",
					RelayTransfer.this.exchange.decision(), "replica", this.upstream.id(), "sentMs",
					RelayTransfer.this.sentMs, "tokens", tokens(), "elapsedMs",
					RelayTransfer.this.exchange.elapsedMs());
			if (this.connection != null) {
				this.connection.abort();
			}
			else if (this.pending != null) {
				this.pending.dispose();
			}
			if (this.isPassedOn) {
				RelayTransfer.this.answer.cut();
			}
		}

		@Override
		public HttpRequest head() {
			HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1,
					RelayTransfer.this.exchange.request().method(), RelayTransfer.this.exchange.request().uri(),
					this.headers);
			boolean hasBody = this.headers.contains(HttpHeaderNames.CONTENT_LENGTH)
					|| RelayTransfer.this.body.length > 0;
			RelayTransfer.this.pool.translator()
				.encodeRequest(this.headers, this.upstream.id(), RelayTransfer.this.exchange.workspaceOrNull(),
						this.timeLeftMs, urgency());
			this.headers.remove(HttpHeaderNames.AUTHORIZATION);
			if (hasBody) {
				this.headers.set(HttpHeaderNames.CONTENT_LENGTH, RelayTransfer.this.body.length);
			}
			return request;
		}

		// Requests of programs under way precede those that begin one: what was done for
		// the program would be lost.
		private @Nullable Integer urgency() {
			if (RelayTransfer.this.tokensPerEvent == 0) {
				return null;
			}
			int priority = routed().table().priorityOf(routed().route(), RelayTransfer.this.exchange.workspaceOrNull());
			int opening = (RelayTransfer.this.exchange.reservation().stage() == RequestStage.OPENING) ? 1 : 0;
			return Math.min(LAST_URGENCY, FIRST_URGENCY + 2 * Math.max(0, priority) + opening);
		}

		@Override
		public ByteBuf body() {
			return Unpooled.wrappedBuffer(RelayTransfer.this.body);
		}

		@Override
		public @Nullable String attemptId() {
			return routed().facts().attemptId();
		}

		@Override
		public void head(HttpResponseStatus received, HttpHeaders fields, ResponseMetadata facts) {
			this.load = facts.load();
			if (facts.isDeclined()) {
				this.outcome = RelayOutcome.DECLINED;
			}
			else if (facts.isMisdirected()) {
				this.outcome = RelayOutcome.MISDIRECTED;
			}
			else if (!isPromise(received)) {
				this.outcome = RelayOutcome.ANSWERED;
			}
			this.status = received;
			this.headers = HopByHopHeaders.without(fields);
		}

		// To a client these statuses promise that the request did not run. A replica that
		// does not state so itself may have run it.
		private boolean isPromise(HttpResponseStatus received) {
			return received.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
					|| received.equals(HttpResponseStatus.TOO_MANY_REQUESTS)
					|| received.equals(HttpResponseStatus.REQUEST_TIMEOUT);
		}

		@Override
		public void piece(ByteBuf piece) {
			if (this.isOver || this.outcome != RelayOutcome.ANSWERED) {
				piece.release();
				return;
			}
			forwardHead();
			if (RelayTransfer.this.tokensPerEvent > 0) {
				this.counter.add(piece);
			}
			RelayTransfer.this.answer.piece(piece);
		}

		// The head waits for the first piece, so that a request can still go to another
		// replica if the connection fails in between.
		private void forwardHead() {
			if (this.isPassedOn || this.status == null) {
				return;
			}
			this.isPassedOn = true;
			RelayTransfer.this.answer.begin(this.status, this.headers);
			RelayEnd.ReportedLoad reported = this.load;
			RelayTransfer.this.control.execute(() -> this.listener.answerStarted(reported));
		}

		@Override
		public void completed() {
			if (this.isOver) {
				return;
			}
			if (this.outcome == RelayOutcome.ANSWERED) {
				forwardHead();
				RelayTransfer.this.answer.complete();
			}
			end(this.outcome, "status " + this.status);
		}

		@Override
		public void broken(String reason) {
			if (this.isOver) {
				return;
			}
			if (this.isPassedOn) {
				RelayTransfer.this.answer.cut();
			}
			end(this.isPassedOn ? RelayOutcome.TRUNCATED : RelayOutcome.BROKEN, reason);
		}

		private int tokens() {
			return this.counter.events() * RelayTransfer.this.tokensPerEvent;
		}

		private void end(RelayOutcome how, String detail) {
			this.isOver = true;
			RelayTransfer.this.exchange.reservation().tokensDelivered(tokens());
			int statusCode = (this.status != null) ? this.status.code() : 0;
			RelayEnd end = new RelayEnd(how, statusCode, tokens(), this.isPassedOn ? null : this.load, detail);
			RelayTransfer.this.events.record("request.sent", "attempt", routed().attemptId(), "decision",
					RelayTransfer.this.exchange.decision(), "workspace",
					String.valueOf(RelayTransfer.this.exchange.workspaceOrNull()), "route", routed().route().name(),
					"version", routed().table().version(), "replica", this.upstream.id(), "sentMs",
					RelayTransfer.this.sentMs, "timeLeftMs", this.timeLeftMs, "outcome", how, "status", statusCode,
					"tokens", end.generatedTokens(), "elapsedMs", RelayTransfer.this.exchange.elapsedMs(), "detail",
					detail);
			RelayTransfer.this.control.execute(() -> this.listener.ended(end));
		}

	}

}
