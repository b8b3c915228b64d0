package dev.nutmegdoor.node.upstream;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.call.ServiceCall;
import dev.nutmegdoor.core.configuration.CallerKey;
import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.upstream.UpstreamException;
import dev.nutmegdoor.node.control.ControlThread;
import dev.nutmegdoor.node.direct.ConfiguredKeyAuthenticator;
import dev.nutmegdoor.node.direct.StaticConfigurationView;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class HttpServiceClientTests {

	private static final String KEY = "nd_k1_secret";

	private final ControlThread control = new ControlThread("control-test");

	private final InvariantRegistry invariants = new InvariantRegistry();

	private final AtomicInteger requests = new AtomicInteger();

	private final DisposableServer server = HttpServer.create()
		.host("127.0.0.1")
		.port(0)
		.handle((request, response) -> request.receive().aggregate().then(Mono.<Void>fromRunnable(() -> {
			this.requests.incrementAndGet();
			request.withConnection((Connection connection) -> connection.channel().close());
		})))
		.bindNow();

	private final UpstreamHttp http = new UpstreamHttp(this.control, 4, 1_000, 10_000);

	private final HttpServiceClient client = client();

	private HttpServiceClient client() {
		WorkspaceId workspace = new WorkspaceId("w1");
		KeyId key = new KeyId("k1");
		Configuration configuration = new Configuration(1, Map.of(),
				Map.of(key, new CallerKey(key, workspace, ConfiguredKeyAuthenticator.hash(KEY))), Map.of(), Map.of(),
				Map.of());
		StaticConfigurationView view = new StaticConfigurationView(configuration, this.invariants);
		KeyScanner scanner = new KeyScanner(new ConfiguredKeyAuthenticator(view));
		return new HttpServiceClient(this.http, new OutboundRequestCheck(scanner, view, this.invariants, this.control));
	}

	@AfterEach
	void stop() {
		this.http.close();
		this.server.disposeNow();
		this.control.close();
	}

	private RunState runStateOf(int port, String body) {
		Upstream upstream = new Upstream(new UpstreamId("s1"), UpstreamKind.SERVICE, new AvailabilityZone("a"),
				"127.0.0.1", port, List.of("orders"), 1, true, false);
		ExecutionException exception = assertThrows(ExecutionException.class,
				() -> this.client.call(upstream, new ServiceCall("orders", "book", body, "b1"), 20_000)
					.get(30, TimeUnit.SECONDS));
		return ((UpstreamException) exception.getCause()).run();
	}

	// Guards against a call that is sent twice because the connection broke after it had
	// been written, and against reporting it as not run.
	@Test
	void reportsABreakAfterTheRequestAsUnknownAndDoesNotRepeatIt() {
		assertThat(runStateOf(this.server.port(), "{}"), is(RunState.UNKNOWN));
		assertThat(this.requests.get(), is(1));
	}

	// Guards against such a status at the caller, and against an operation that counts as
	// settled because of it.
	@ParameterizedTest
	@ValueSource(ints = { 0, 7, 99, 600, 999 })
	void reportsStatusThatHttpDoesNotDefineAsUnknown(int status) {
		DisposableServer broken = HttpServer.create()
			.host("127.0.0.1")
			.port(0)
			.handle((request, response) -> response.status(status).sendString(Mono.just("{}")))
			.bindNow();
		try {
			assertThat(runStateOf(broken.port(), "{}"), is(RunState.UNKNOWN));
		}
		finally {
			broken.disposeNow();
		}
	}

	// Guards against giving up a call as unknown although no replica can have received
	// it.
	@Test
	void reportsARefusedConnectionAsNotRun() {
		int port = this.server.port();
		this.server.disposeNow();
		assertThat(runStateOf(port, "{}"), is(RunState.NOT_RUN));
	}

	// Guards against a key that an earlier layer overlooked.
	@Test
	void sendsNothingThatContainsACallersKey() {
		assertThat(runStateOf(this.server.port(), "{\"note\":\"" + KEY + "\"}"), is(RunState.NOT_RUN));
		assertThat(this.requests.get(), is(0));
		assertThat(this.invariants.violated(Invariant.KEY_CONFIDENTIALITY), is(1L));
	}

}
