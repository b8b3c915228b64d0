package dev.nutmegdoor.experiment.processor;

import java.net.InetSocketAddress;
import java.time.Duration;

import io.netty.handler.codec.http.HttpHeaderNames;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import dev.nutmegdoor.platform.SyntheticDeployment;

/**
 * A replica in the form of the platform that answers at once: a turn event by event,
 * another request with one body.
 */
final class ReplicaResponder implements AutoCloseable {

	private static final int EVENTS = 6;

	private static final int BODY_BYTES = 800;

	private static final Duration EVENT_GAP = Duration.ofMillis(4);

	private final String id;

	private final boolean isEngine;

	private final int slots;

	private final DisposableServer server;

	private long sequence;

	ReplicaResponder(String id, String host, boolean isEngine, int slots) {
		this.id = id;
		this.isEngine = isEngine;
		this.slots = slots;
		this.server = HttpServer.create().host(host).port(0).handle(this::answer).bindNow();
	}

	String id() {
		return this.id;
	}

	/**
	 * Returns the entry that the replica writes to the store; each has a higher sequence
	 * number.
	 * @param zone availability zone of the replica
	 * @return the entry as JSON
	 */
	String entry(String zone) {
		InetSocketAddress address = (InetSocketAddress) this.server.address();
		return "{\"Service\":\"" + (this.isEngine ? "llm" : "app") + "\",\"Addr\":\""
				+ address.getAddress().getHostAddress() + ":" + address.getPort() + "\",\"Zone\":\"" + zone
				+ "\",\"Version\":\"v1\",\"Slots\":" + this.slots + ",\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":"
				+ ++this.sequence + ",\"born\":1}";
	}

	private Publisher<Void> answer(HttpServerRequest request, HttpServerResponse response) {
		String attempt = request.requestHeaders().get(SyntheticDeployment.ATTEMPT_ID, "");
		SyntheticDeployment.responseFields(this.id, attempt, this.slots).forEach(response::header);
		if (this.isEngine && !attempt.isEmpty()) {
			Flux<String> events = Flux.range(1, EVENTS)
				.delayElements(EVENT_GAP)
				.map((event) -> "id: " + event + "\ndata: " + attempt + " " + event + "\n\n");
			return request.receive().then().thenMany(response.sse().sendString(events));
		}
		String body = attempt.isEmpty() ? "" : "x".repeat(BODY_BYTES);
		response.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length()));
		return request.receive().then().thenMany(response.sendString(Mono.just(body)));
	}

	@Override
	public void close() {
		this.server.disposeNow();
	}

}
