package dev.nutmegdoor.node.relay;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;
import reactor.core.Disposable;

import dev.nutmegdoor.core.call.Relay;
import dev.nutmegdoor.core.call.RelayCancellation;
import dev.nutmegdoor.core.call.RelayEnd;
import dev.nutmegdoor.core.call.RelayHandle;
import dev.nutmegdoor.core.call.RelayListener;
import dev.nutmegdoor.core.call.RelayOutcome;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.limit.RequestStage;
import dev.nutmegdoor.core.quarantine.RequestFingerprint;
import dev.nutmegdoor.core.quarantine.RequestQuarantine;
import dev.nutmegdoor.core.route.ReplicaList;
import dev.nutmegdoor.core.route.ResponseMetadata;
import dev.nutmegdoor.node.entry.ControlBridge;
import dev.nutmegdoor.node.entry.Exchange;
import dev.nutmegdoor.node.entry.RoutedRequest;

/**
 * Transfers the bytes of one request and its response. {@link #send} is called on the
 * control thread, everything else runs on the event loop.
 */
final class RelayTransfer implements Relay {

	/** Urgency of the most urgent route; engines assume 5 if none is given. */
	private static final int MOST_URGENT = 3;

	private static final int LEAST_URGENT = 9;

	/** Media type of streams; replicas may leave it out. */
	private static final String EVENT_STREAM = "text/event-stream";

	private final Exchange exchange;

	private final byte[] body;

	private final RelayResponse response;

	private final UpstreamPool pool;

	private final ControlBridge control;

	private final EventLog events;

	private final int tokensPerEvent;

	private final RequestFingerprint fingerprint;

	private final RequestQuarantine quarantine;

	private final CrashWatch crashWatch;

	private final ReplicaList replicas;

	private final RetainedTurns retainedTurns;

	private final @Nullable RetainedTurn turn;

	private final Predicate<Upstream> isEvacuated;

	private final Set<UpstreamConnection> usedConnections = new HashSet<>(2);

	private volatile long sentMs;

	/**
	 * Creates a transfer.
	 * @param exchange the client's request
	 * @param body complete body of the request
	 * @param response receives the response of the replica
	 * @param pool connections to replicas
	 * @param control runs tasks on the control thread
	 * @param events receives an event for each send
	 * @param tokensPerEvent number of tokens that one event of the response stands for; 0
	 * if the response is not a stream
	 * @param fingerprint fingerprint of the request
	 * @param quarantine knows the requests that must not be sent
	 * @param crashWatch is told of connections that are lost
	 * @param replicas is told of replicas that leave; used on the control thread
	 * @param retainedTurns stores turns whose response has ended
	 * @param turn the turn to store, or {@code null} on a route that keeps none
	 * @param isEvacuated whether nothing may be sent to a replica now, because its zone
	 * is evacuated
	 */
	RelayTransfer(Exchange exchange, byte[] body, RelayResponse response, UpstreamPool pool, ControlBridge control,
			EventLog events, int tokensPerEvent, RequestFingerprint fingerprint, RequestQuarantine quarantine,
			CrashWatch crashWatch, ReplicaList replicas, RetainedTurns retainedTurns, @Nullable RetainedTurn turn,
			Predicate<Upstream> isEvacuated) {
		this.exchange = exchange;
		this.body = body;
		this.response = response;
		this.pool = pool;
		this.control = control;
		this.events = events;
		this.tokensPerEvent = tokensPerEvent;
		this.fingerprint = fingerprint;
		this.quarantine = quarantine;
		this.crashWatch = crashWatch;
		this.replicas = replicas;
		this.retainedTurns = retainedTurns;
		this.turn = turn;
		this.isEvacuated = isEvacuated;
	}

	@Override
	public RelayHandle send(Upstream upstream, long timeLeftMs, RelayListener listener) {
		if (this.quarantine.withheldMs(this.fingerprint) > 0) {
			listener
				.ended(new RelayEnd(RelayOutcome.WITHHELD, 0, 0, null, "replicas crashed while they had the request"));
			return (reason) -> {
			};
		}
		this.sentMs = this.exchange.elapsedMs();
		SendAttempt attempt = new SendAttempt(upstream, timeLeftMs, listener, this.control.timers().nowMs());
		this.pool.eventLoop().execute(attempt::start);
		return (reason) -> this.pool.eventLoop().execute(() -> attempt.cancel(reason));
	}

	private RoutedRequest routed() {
		return this.exchange.routed();
	}

	/**
	 * One send to one replica.
	 */
	private final class SendAttempt implements UpstreamExchange {

		private final Upstream upstream;

		private final long timeLeftMs;

		private final RelayListener listener;

		private final long startedMs;

		private final ServerSentEventCounter eventCounter = new ServerSentEventCounter();

		private HttpHeaders headers = HopByHopHeaders.without(RelayTransfer.this.exchange.request().requestHeaders());

		private RelayOutcome outcome = RelayOutcome.BROKEN;

		private @Nullable Disposable pendingConnection;

		private @Nullable UpstreamConnection connection;

		private @Nullable HttpResponseStatus status;

		private RelayEnd.@Nullable ReportedLoad reportedLoad;

		/** Records the output of a turn that is to be stored. */
		private @Nullable EventDataRecorder recorder;

		private boolean isEndedByClose;

		private boolean isHeadForwarded;

		private boolean isEnded;

		private SendAttempt(Upstream upstream, long timeLeftMs, RelayListener listener, long startedMs) {
			this.upstream = upstream;
			this.timeLeftMs = timeLeftMs;
			this.listener = listener;
			this.startedMs = startedMs;
		}

		private void start() {
			if (this.isEnded) {
				return;
			}
			Disposable acquisition = RelayTransfer.this.pool.acquire(this.upstream, remainingMs(), this::isEligible,
					this::connected, (reason) -> {
						if (!this.isEnded) {
							end(RelayOutcome.NOT_CONNECTED, reason);
						}
					});
			if (this.connection == null) {
				this.pendingConnection = acquisition;
			}
		}

		// The time for the connection is part of the time that the request has.
		private long remainingMs() {
			long elapsedMs = RelayTransfer.this.control.timers().nowMs() - this.startedMs;
			return Math.max(1, this.timeLeftMs - elapsedMs);
		}

		// A response names the attempt that it belongs to, so it belongs to one send only
		// if the attempt was sent on its connection once.
		private boolean isEligible(UpstreamConnection candidate) {
			return (attemptId() != null) ? !RelayTransfer.this.usedConnections.contains(candidate)
					: candidate.isUnused();
		}

		private void connected(UpstreamConnection acquiredConnection) {
			if (this.isEnded) {
				RelayTransfer.this.pool.release(acquiredConnection);
				return;
			}
			// The wait for a connection may outlast the time in which an evacuation must
			// take
			// effect.
			if (RelayTransfer.this.isEvacuated.test(this.upstream)) {
				RelayTransfer.this.pool.release(acquiredConnection);
				end(RelayOutcome.EVACUATED, "zone " + this.upstream.availabilityZone() + " is evacuated");
				return;
			}
			this.connection = acquiredConnection;
			RelayTransfer.this.usedConnections.add(acquiredConnection);
			acquiredConnection.send(this);
		}

		private void cancel(RelayCancellation reason) {
			if (this.isEnded) {
				return;
			}
			this.isEnded = true;
			RelayTransfer.this.exchange.reservation().tokensDelivered(deliveredTokens());
			RelayTransfer.this.events.record("request.send-cancelled", "attempt", routed().attemptId(), "decision",
					RelayTransfer.this.exchange.decision(), "replica", this.upstream.id(), "sentMs",
					RelayTransfer.this.sentMs, "reason", reason, "status", statusCode(), "forwarded",
					this.isHeadForwarded, "tokens", deliveredTokens(), "elapsedMs",
					RelayTransfer.this.exchange.elapsedMs());
			if (this.connection != null) {
				this.connection.abort();
			}
			else if (this.pendingConnection != null) {
				this.pendingConnection.dispose();
			}
			if (this.isHeadForwarded) {
				RelayTransfer.this.response.abort();
			}
		}

		@Override
		public HttpRequest requestHead() {
			HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1,
					RelayTransfer.this.exchange.request().method(), RelayTransfer.this.exchange.request().uri(),
					this.headers);
			boolean hasBody = this.headers.contains(HttpHeaderNames.CONTENT_LENGTH)
					|| RelayTransfer.this.body.length > 0;
			RelayTransfer.this.pool.translator()
				.encodeRequest(this.headers, this.upstream.id(), RelayTransfer.this.exchange.workspaceOrNull(),
						remainingMs(), urgency());
			this.headers.remove(HttpHeaderNames.AUTHORIZATION);
			if (hasBody) {
				this.headers.set(HttpHeaderNames.CONTENT_LENGTH, RelayTransfer.this.body.length);
			}
			return request;
		}

		// Requests of running programs precede those that start one, because the work
		// already done for a running program would otherwise be lost.
		private @Nullable Integer urgency() {
			if (RelayTransfer.this.tokensPerEvent == 0) {
				return null;
			}
			int priority = routed().table().priorityOf(routed().route(), RelayTransfer.this.exchange.workspaceOrNull());
			int openingPenalty = (RelayTransfer.this.exchange.reservation().stage() == RequestStage.OPENING) ? 1 : 0;
			return Math.min(LEAST_URGENT, MOST_URGENT + 2 * Math.max(0, priority) + openingPenalty);
		}

		@Override
		public ByteBuf requestBody() {
			return Unpooled.wrappedBuffer(RelayTransfer.this.body);
		}

		@Override
		public @Nullable String attemptId() {
			return routed().facts().attemptId();
		}

		@Override
		public void responseStarted(HttpResponseStatus receivedStatus, HttpHeaders receivedHeaders,
				ResponseMetadata metadata) {
			this.reportedLoad = metadata.load();
			double requestsPerSecond = metadata.requestsPerSecond();
			if (requestsPerSecond > 0 && !metadata.isMisdirected()) {
				RelayTransfer.this.control.execute(() -> this.listener.rateDeclared(requestsPerSecond));
			}
			Long coldMs = metadata.coldMs();
			if (coldMs != null && !metadata.isMisdirected()) {
				RelayTransfer.this.control.execute(() -> this.listener.coldStated(coldMs));
			}
			if (metadata.isLeaving() && !metadata.isMisdirected()) {
				RelayTransfer.this.control
					.execute(() -> RelayTransfer.this.replicas.statedLeaving(this.upstream.id(), this.startedMs));
			}
			if (metadata.isDeclined()) {
				this.outcome = RelayOutcome.DECLINED;
			}
			else if (metadata.isMisdirected()) {
				this.outcome = RelayOutcome.MISDIRECTED;
			}
			else if (!isNotRunStatus(receivedStatus)) {
				this.outcome = RelayOutcome.ANSWERED;
			}
			this.status = receivedStatus;
			this.isEndedByClose = !receivedHeaders.contains(HttpHeaderNames.CONTENT_LENGTH)
					&& !receivedHeaders.contains(HttpHeaderNames.TRANSFER_ENCODING);
			this.headers = HopByHopHeaders.without(receivedHeaders);
			RetainedTurn retained = RelayTransfer.this.turn;
			if (retained != null && this.outcome == RelayOutcome.ANSWERED && hasOutput(receivedStatus)) {
				this.recorder = RetainedTurns.recorderFor(retained);
				// A client that knows the length would see the end with the last byte,
				// before the turn is stored.
				this.headers.remove(HttpHeaderNames.CONTENT_LENGTH);
			}
		}

		private boolean hasOutput(HttpResponseStatus receivedStatus) {
			return receivedStatus.codeClass() == HttpStatusClass.SUCCESS
					&& !receivedStatus.equals(HttpResponseStatus.NO_CONTENT)
					&& !receivedStatus.equals(HttpResponseStatus.RESET_CONTENT)
					&& !RelayTransfer.this.exchange.request().method().equals(HttpMethod.HEAD);
		}

		// These statuses guarantee to a client that the request did not run. A replica
		// that does not state so explicitly may have run it.
		private boolean isNotRunStatus(HttpResponseStatus receivedStatus) {
			return receivedStatus.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
					|| receivedStatus.equals(HttpResponseStatus.TOO_MANY_REQUESTS)
					|| receivedStatus.equals(HttpResponseStatus.REQUEST_TIMEOUT);
		}

		@Override
		public void chunkReceived(ByteBuf chunk) {
			if (this.isEnded || this.outcome != RelayOutcome.ANSWERED) {
				int bytes = chunk.readableBytes();
				chunk.release();
				if (this.connection != null) {
					this.connection.skipped(bytes);
				}
				return;
			}
			forwardHead();
			if (routed().route().kind().isStream()) {
				this.eventCounter.add(chunk);
			}
			if (this.recorder != null && isEventStream()) {
				this.recorder.add(chunk);
			}
			RelayTransfer.this.response.writeChunk(chunk);
			UpstreamConnection current = this.connection;
			if (current != null && RelayTransfer.this.response.isFull()) {
				current.setReading(false);
				RelayTransfer.this.response.onDrained(() -> {
					if (!this.isEnded) {
						current.setReading(true);
					}
				});
			}
		}

		// The head is held back until the first chunk arrives, so that the request can be
		// sent to another replica if the connection fails in between.
		private void forwardHead() {
			if (this.isHeadForwarded || this.status == null) {
				return;
			}
			this.isHeadForwarded = true;
			RelayTransfer.this.response.start(this.status, this.headers);
			RelayEnd.ReportedLoad headerLoad = this.reportedLoad;
			RelayTransfer.this.control.execute(() -> this.listener.answerStarted(headerLoad));
		}

		@Override
		public void responseCompleted() {
			if (this.isEnded) {
				return;
			}
			if (isStreamBrokenOff()) {
				failed("the stream ended inside an event or before the first one", false);
				return;
			}
			if (this.outcome == RelayOutcome.ANSWERED) {
				forwardHead();
				completeResponse();
				if (!isServerError(this.status)) {
					RelayTransfer.this.control
						.execute(() -> RelayTransfer.this.quarantine.completed(RelayTransfer.this.fingerprint));
				}
			}
			end(this.outcome, "status " + this.status);
		}

		// The end of a turn that is kept is held back until the turn is stored.
		private void completeResponse() {
			RetainedTurn retained = RelayTransfer.this.turn;
			EventDataRecorder output = this.recorder;
			if (retained == null || output == null) {
				RelayTransfer.this.response.complete();
				return;
			}
			RelayTransfer.this.retainedTurns.store(retained, output, (isStored) -> {
				if (isStored) {
					RelayTransfer.this.response.complete();
				}
				else {
					RelayTransfer.this.response.abort();
				}
			});
		}

		@Override
		public void failed(String reason, boolean isConnectionLost) {
			if (this.isEnded) {
				return;
			}
			if (isConnectionLost) {
				RelayTransfer.this.crashWatch.connectionLost(RelayTransfer.this.fingerprint, this.upstream,
						this.startedMs);
			}
			if (this.isHeadForwarded) {
				RelayTransfer.this.response.abort();
			}
			if (this.outcome == RelayOutcome.DECLINED || this.outcome == RelayOutcome.MISDIRECTED) {
				// The head states that the request did not run, however its body ends.
				end(this.outcome, reason);
				return;
			}
			end(this.isHeadForwarded ? RelayOutcome.TRUNCATED : RelayOutcome.BROKEN, reason);
		}

		// A stream without length and chunks ends with its connection, however it ends.
		private boolean isStreamBrokenOff() {
			return this.outcome == RelayOutcome.ANSWERED && this.status != null
					&& this.status.codeClass() == HttpStatusClass.SUCCESS && isEventStream()
					&& (this.eventCounter.isInEvent() || isEndedBeforeFirstEvent());
		}

		// Only a stream that is taken up after its last event has none.
		private boolean isEndedBeforeFirstEvent() {
			return this.isEndedByClose && this.eventCounter.events() == 0 && routed().route().kind().isStream()
					&& routed().facts().resumeAfterEvent() == 0 && HttpResponseStatus.OK.equals(this.status)
					&& !RelayTransfer.this.exchange.request().method().equals(HttpMethod.HEAD);
		}

		private boolean isEventStream() {
			String contentType = this.headers.get(HttpHeaderNames.CONTENT_TYPE);
			return contentType == null || contentType.regionMatches(true, 0, EVENT_STREAM, 0, EVENT_STREAM.length());
		}

		private static boolean isServerError(@Nullable HttpResponseStatus receivedStatus) {
			return receivedStatus == null || receivedStatus.codeClass() == HttpStatusClass.SERVER_ERROR;
		}

		private int statusCode() {
			return (this.status != null) ? this.status.code() : 0;
		}

		private int deliveredTokens() {
			return this.eventCounter.events() * RelayTransfer.this.tokensPerEvent;
		}

		private void end(RelayOutcome sendOutcome, String detail) {
			this.isEnded = true;
			RelayTransfer.this.exchange.reservation().tokensDelivered(deliveredTokens());
			RelayEnd end = new RelayEnd(sendOutcome, statusCode(), deliveredTokens(),
					this.isHeadForwarded ? null : this.reportedLoad, detail);
			RelayTransfer.this.events.record("request.sent", "attempt", routed().attemptId(), "decision",
					RelayTransfer.this.exchange.decision(), "workspace",
					String.valueOf(RelayTransfer.this.exchange.workspaceOrNull()), "route", routed().route().name(),
					"version", routed().table().version(), "fingerprint", RelayTransfer.this.fingerprint, "replica",
					this.upstream.id(), "softwareVersion", String.valueOf(this.upstream.softwareVersion()), "resumes",
					String.valueOf(routed().facts().resumedAttemptId()), "connection",
					(this.connection != null) ? this.connection.describeSend() : "-", "sentMs",
					RelayTransfer.this.sentMs, "timeLeftMs", this.timeLeftMs, "outcome", sendOutcome, "status",
					statusCode(), "tokens", end.generatedTokens(), "elapsedMs", RelayTransfer.this.exchange.elapsedMs(),
					"detail", detail);
			RelayTransfer.this.control.execute(() -> this.listener.ended(end));
		}

	}

}
