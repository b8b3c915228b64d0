package dev.nutmegdoor.standin.relay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.node.relay.GatewayNode;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Tests what clients receive when replicas answer with errors or break off their answers.
 */
class GatewayBrokenAnswersTests extends GatewayEnvironment {

	/** Grace period of which some hundred milliseconds are left for requests. */
	private static final long SHORT_GRACE_MS = 1_300;

	private static final int RANDOM_ATTEMPTS = 40;

	/** The other bytes are covered by the other ways in which the answer is delimited. */
	private static final int BYTES_PER_CUT = 3;

	private static final int SUCCESSES_PER_ATTEMPT = 4;

	private ReplicaServer secondReplica;

	private BrokenAnswerScripts scripts;

	private String origin = "";

	@Override
	void putDeployment() throws Exception {
		this.secondReplica = new ReplicaServer();
		useSeed(1);
		for (ReplicaServer server : List.of(this.replica, this.secondReplica)) {
			put("servers", "r-" + server.port(), """
					{"Service":"s","Addr":"%s:%d","Zone":"a","Slots":64,"State":"ready","Seq":1}""".formatted(HOST,
					server.port()));
		}
		put("config", "main", """
				{"Version":1,"Limits":{"IdleTimeoutMs":60000},"Routes":[
				{"Name":"safe","Host":"h.example","Prefix":"/safe/","Kind":"safe","TimeoutMs":9000,"Service":"s",
				"Attempts":3},
				{"Name":"once","Host":"h.example","Prefix":"/once/","Kind":"unsafe","TimeoutMs":9000,"Service":"s",
				"Attempts":3},
				{"Name":"turn","Host":"h.example","Prefix":"/turn/","Kind":"stream","Resumable":true,"TimeoutMs":9000,
				"RetainS":60,"Service":"s","Attempts":3}],
				"Services":[{"Name":"s","Engine":{"Stride":6}}],
				"Tenants":[{"Name":"w","ApiKeys":["key-1"],"RatePerS":100000,"Burst":100000}]}""");
	}

	@AfterEach
	void closeSecondReplica() throws IOException {
		this.secondReplica.close();
	}

	private void useSeed(long seed) {
		this.scripts = new BrokenAnswerScripts(seed);
		this.replica.respondWith(this.scripts);
		this.secondReplica.respondWith(this.scripts);
	}

	private BrokenAnswerClient client(String version, boolean isKeepAlive) {
		return new BrokenAnswerClient(HOST, this.clientPort, version, isKeepAlive, this.scripts, this.origin);
	}

	private void beginStream() throws IOException {
		this.origin = attempt();
		this.scripts.put(this.origin, List.of(this.scripts.stream(this.origin, 1, AnswerDelimiter.LENGTH)));
		try (BrokenAnswerClient client = client("1.1", false)) {
			assertThat(client.exchange("POST", "/turn/a", this.origin, 1, false).isComplete, is(true));
		}
	}

	// Successes earn the retries that the next attempts need.
	private void earnRetries(BrokenAnswerClient client) throws IOException {
		for (int i = 0; i < SUCCESSES_PER_ATTEMPT; i++) {
			String attempt = attempt();
			this.scripts.put(attempt, List.of(this.scripts.stream(attempt, 1, AnswerDelimiter.LENGTH)));
			client.exchange("POST", "/safe/a", attempt, 1, false);
		}
	}

	private void requireSuccesses() {
		assertThat(completeSuccesses(), is(greaterThan(1)));
	}

	private int completeSuccesses() {
		return this.scripts.outcomes.getOrDefault("200 complete of replica", 0);
	}

	private int sends() {
		return this.replica.requestCount() + this.secondReplica.requestCount();
	}

	private String attempt() {
		return "b-" + this.nextAttempt++;
	}

	@Nested
	class StreamsThatAreTakenUp {

		private void breakOffAndTakeUp(BrokenAnswerClient client, AnswerDelimiter delimiter,
				Function<String, List<ScriptedReply>> second) throws IOException {
			earnRetries(client);
			String first = attempt();
			ScriptedReply stream = GatewayBrokenAnswersTests.this.scripts.stream(first, 1, delimiter);
			int inThirdEvent = stream.text().indexOf("id: 3") + 3;
			GatewayBrokenAnswersTests.this.scripts.put(first, List.of(stream.cut(inThirdEvent, false)));
			client.exchange("POST", "/turn/a", first, 1, false);
			String taken = attempt();
			GatewayBrokenAnswersTests.this.scripts.put(taken, second.apply(taken));
			client.exchange("POST", "/turn/a", taken, 3, false);
		}

		// Guards against an error's text in the stream of a client that took it up, and
		// against an error that ends the stream as complete.
		@ParameterizedTest
		@CsvSource({ "500", "503", "429", "421", "404" })
		void neverContainCompleteError(int status) throws Exception {
			beginStream();
			for (AnswerDelimiter first : AnswerDelimiter.values()) {
				for (AnswerDelimiter second : AnswerDelimiter.values()) {
					try (BrokenAnswerClient client = client("1.1", true)) {
						for (int i = 0; i < 2; i++) {
							breakOffAndTakeUp(client, first, (id) -> List.of(scripts().error(id, status, second),
									scripts().stream(id, 3, AnswerDelimiter.LENGTH)));
						}
					}
				}
			}
		}

		// Guards against parts of an error whose replica broke it off at any byte.
		@ParameterizedTest
		@EnumSource(AnswerDelimiter.class)
		void neverContainBrokenError(AnswerDelimiter delimiter) throws Exception {
			beginStream();
			try (BrokenAnswerClient client = client("1.1", true)) {
				for (int bytes = delimiter.ordinal(); bytes < scripts().error("b-100", 500, delimiter)
					.text()
					.length(); bytes += BYTES_PER_CUT) {
					int cutAt = bytes;
					boolean isReset = bytes % 2 == 0;
					int status = (bytes % 3 == 0) ? 503 : 500;
					breakOffAndTakeUp(client, AnswerDelimiter.CHUNKS,
							(id) -> List.of(scripts().error(id, status, delimiter).cut(cutAt, isReset),
									scripts().stream(id, 3, delimiter)));
				}
			}
			requireSuccesses();
		}

		// Guards against an empty or short success whose replica broke off its head, and
		// against that head joined with the answer of the next replica.
		@ParameterizedTest
		@EnumSource(AnswerDelimiter.class)
		void neverEndWithHeadThatIsBrokenOff(AnswerDelimiter delimiter) throws Exception {
			beginStream();
			try (BrokenAnswerClient client = client("1.1", true)) {
				int headLength = scripts().stream("b-100", 3, delimiter).headLength();
				for (int bytes = delimiter.ordinal(); bytes <= headLength; bytes += BYTES_PER_CUT) {
					int cutAt = bytes;
					boolean isReset = bytes % 2 == 0;
					breakOffAndTakeUp(client, AnswerDelimiter.LENGTH,
							(id) -> List.of(scripts().stream(id, 3, delimiter).cut(cutAt, isReset),
									scripts().stream(id, 3, delimiter)));
				}
			}
			requireSuccesses();
		}

		private BrokenAnswerScripts scripts() {
			return GatewayBrokenAnswersTests.this.scripts;
		}

	}

	@Nested
	class AnswersOfAnyKind {

		// Guards against joined, shortened and repeated answers, whatever the replicas
		// send and however they end it.
		@ParameterizedTest
		@CsvSource({ "11, 1.1, true", "12, 1.1, false", "13, 1.0, true", "14, 1.0, false" })
		void areForwardedExactlyOrVisiblyBroken(long seed, String version, boolean isKeepAlive) throws Exception {
			useSeed(seed);
			beginStream();
			Random random = new Random(seed);
			String[] paths = { "/turn/a", "/turn/a", "/safe/a", "/once/a" };
			try (BrokenAnswerClient client = client(version, isKeepAlive)) {
				for (int i = 0; i < RANDOM_ATTEMPTS; i++) {
					String path = paths[random.nextInt(paths.length)];
					int firstEvent = path.startsWith("/turn") ? 1 + random.nextInt(4) : 1;
					String method = (random.nextInt(6) == 0) ? "HEAD" : "POST";
					String attempt = attempt();
					GatewayBrokenAnswersTests.this.scripts.put(attempt, GatewayBrokenAnswersTests.this.scripts
						.randomReplies(attempt, firstEvent, method.equals("HEAD")));
					client.exchange(method, path, attempt, firstEvent, false);
					earnRetries(client);
				}
			}
			requireSuccesses();
		}

		// Guards against answers without a body that get one, or that are lost with their
		// connection.
		@ParameterizedTest
		@CsvSource({ "1.1, POST, 204", "1.1, POST, 304", "1.1, HEAD, 200", "1.0, POST, 204", "1.0, POST, 304",
				"1.0, HEAD, 200" })
		void withoutBodyAreForwarded(String version, String method, int status) throws Exception {
			try (BrokenAnswerClient client = client(version, true)) {
				for (boolean isReset : new boolean[] { false, true }) {
					for (AnswerDelimiter delimiter : AnswerDelimiter.values()) {
						if (status == 204 && delimiter != AnswerDelimiter.CONNECTION) {
							continue;
						}
						String attempt = attempt();
						ScriptedReply whole = ScriptedReply
							.of(attempt, GatewayBrokenAnswersTests.this.scripts.nextSeal(), status, "", delimiter, "")
							.withoutBody();
						GatewayBrokenAnswersTests.this.scripts.put(attempt,
								List.of(whole.cut(whole.headLength() / 2, isReset), whole));
						ReceivedResponse response = client.exchange(method, "/safe/a", attempt, 1, false);
						assertThat(response.status, is(status));
					}
				}
			}
		}

		// Guards against an empty answer that an old client takes for a broken one.
		@ParameterizedTest
		@EnumSource(AnswerDelimiter.class)
		void withEmptyBodyEndOrderly(AnswerDelimiter delimiter) throws Exception {
			String attempt = attempt();
			GatewayBrokenAnswersTests.this.scripts.put(attempt, List.of(ScriptedReply.of(attempt,
					GatewayBrokenAnswersTests.this.scripts.nextSeal(), 200, "", delimiter, "")));
			try (BrokenAnswerClient client = client("1.0", false)) {
				assertThat(client.exchange("POST", "/safe/a", attempt, 1, false).isComplete, is(true));
			}
		}

		// Guards against a stream that looks complete although its replica ended the
		// connection right after the head.
		@ParameterizedTest
		@ValueSource(booleans = { false, true })
		void areNotEmptyStreams(boolean isReset) throws Exception {
			String attempt = attempt();
			ScriptedReply stream = GatewayBrokenAnswersTests.this.scripts.stream(attempt, 1,
					AnswerDelimiter.CONNECTION);
			GatewayBrokenAnswersTests.this.scripts.put(attempt,
					List.of(stream.cut(stream.headLength(), isReset), stream));
			try (BrokenAnswerClient client = client("1.1", true)) {
				client.exchange("POST", "/turn/a", attempt, 1, false);
			}
			assertThat(completeSuccesses(), is(1));
		}

	}

	@Nested
	class AnswersWhoseStatusHttpDoesNotDefine {

		private static final String NOT_EXECUTED = "Not-Executed: 1\r\n";

		// Guards against such an answer at the client, and against a repeatable request
		// that fails although another replica answers it.
		@ParameterizedTest
		@ValueSource(ints = { 0, 7, 99, 600, 999 })
		void areReplacedByNextAnswerIfRequestIsRepeatable(int status) throws Exception {
			for (String path : List.of("/safe/a", "/turn/a")) {
				for (AnswerDelimiter delimiter : AnswerDelimiter.values()) {
					ReceivedResponse response = exchange("POST", path,
							(id) -> List.of(undefined(id, status, "", delimiter), whole(id)));
					assertThat(path + " " + delimiter, response.status, is(200));
					assertThat(response.isComplete, is(true));
				}
			}
		}

		// Guards against a request that is sent again although it may have run, and
		// against the promise that it has not run.
		@ParameterizedTest
		@ValueSource(ints = { 0, 7, 99, 600, 999 })
		void endUnsafeRequestAsFailed(int status) throws Exception {
			for (String fields : List.of("", NOT_EXECUTED)) {
				for (AnswerDelimiter delimiter : AnswerDelimiter.values()) {
					ReceivedResponse response = exchange("POST", "/once/a",
							(id) -> List.of(undefined(id, status, fields, delimiter), whole(id)));
					assertThat(fields + delimiter, response.status, is(502));
				}
			}
		}

		// Guards against the last of several such answers at the client, also to requests
		// whose answers have no body.
		@ParameterizedTest
		@CsvSource({ "0, POST", "7, POST", "99, POST", "600, POST", "999, POST", "99, HEAD", "999, HEAD" })
		void endRepeatableRequestAsFailedIfNoOtherComes(int status, String method) throws Exception {
			for (String path : List.of("/safe/a", "/turn/a")) {
				for (AnswerDelimiter delimiter : AnswerDelimiter.values()) {
					ReceivedResponse response = exchange(method, path,
							(id) -> List.of(undefined(id, status, "", delimiter)));
					assertThat(path + " " + delimiter, response.status, is(502));
				}
			}
		}

		private ReceivedResponse exchange(String method, String path, Function<String, List<ScriptedReply>> replies)
				throws IOException {
			try (BrokenAnswerClient client = client("1.1", true)) {
				earnRetries(client);
				String attempt = attempt();
				GatewayBrokenAnswersTests.this.scripts.put(attempt, replies.apply(attempt));
				return client.exchange(method, path, attempt, 1, false);
			}
		}

		private ScriptedReply undefined(String attempt, int status, String fields, AnswerDelimiter delimiter) {
			String seal = GatewayBrokenAnswersTests.this.scripts.nextSeal();
			return ScriptedReply.of(attempt, seal, status, fields, delimiter, seal + "body");
		}

		private ScriptedReply whole(String attempt) {
			return GatewayBrokenAnswersTests.this.scripts.stream(attempt, 1, AnswerDelimiter.LENGTH);
		}

	}

	@Nested
	class AnswersWhileGatewayStops {

		private final List<CompletableFuture<Void>> results = new ArrayList<>();

		// Guards against an answer that looks complete because the gateway stopped while
		// its replica was half-way in the head or the body.
		@ParameterizedTest
		@ValueSource(booleans = { false, true })
		void neverLookCompleteIfInterrupted(boolean isGraceful) throws Exception {
			restartGateway();
			beginStream();
			int started = sends();
			for (String version : List.of("1.0", "1.1")) {
				for (AnswerDelimiter delimiter : AnswerDelimiter.values()) {
					for (int part = 0; part < 6; part++) {
						startHalfAnswer(version, delimiter, part);
						started++;
					}
				}
			}
			int expected = started;
			await(() -> sends() == expected);
			stopGateway(isGraceful);
			CompletableFuture.allOf(this.results.toArray(new CompletableFuture<?>[0]))
				.get(LIMIT_MS, TimeUnit.MILLISECONDS);
		}

		private void startHalfAnswer(String version, AnswerDelimiter delimiter, int part) throws IOException {
			String attempt = attempt();
			int firstEvent = 1 + part % 2;
			ScriptedReply stream = GatewayBrokenAnswersTests.this.scripts.stream(attempt, firstEvent, delimiter);
			int[] cuts = { 0, stream.headLength() / 2, stream.headLength(), stream.headLength() + 3,
					stream.text().indexOf("\n\n", stream.headLength()) + 2, stream.text().length() - 1 };
			GatewayBrokenAnswersTests.this.scripts.put(attempt, List.of(stream.held(cuts[part])));
			BrokenAnswerClient client = client(version, true);
			client.send("POST", "/turn/a", attempt, firstEvent);
			this.results.add(CompletableFuture.runAsync(() -> {
				try (client) {
					client.receive("POST", "/turn/a", attempt, firstEvent, true);
				}
				catch (IOException ex) {
					throw new IllegalStateException(ex);
				}
			}, (task) -> new Thread(task, "client").start()));
		}

		// Guards against the same while streams are broken off and taken up until the
		// gateway accepts no more connections.
		@ParameterizedTest
		@CsvSource({ "21, true", "22, false" })
		void areForwardedExactlyOrVisiblyBroken(long seed, boolean isGraceful) throws Exception {
			useSeed(seed);
			restartGateway();
			beginStream();
			for (int i = 0; i < 6; i++) {
				String version = (i % 2 == 0) ? "1.1" : "1.0";
				Random random = new Random(seed * 100 + i);
				this.results.add(CompletableFuture.runAsync(() -> exchangeUntilRefused(version, random),
						(task) -> new Thread(task, "client").start()));
			}
			await(() -> completeSuccesses() > 10);
			stopGateway(isGraceful);
			CompletableFuture.allOf(this.results.toArray(new CompletableFuture<?>[0]))
				.get(LIMIT_MS, TimeUnit.MILLISECONDS);
		}

		private void exchangeUntilRefused(String version, Random random) {
			try (BrokenAnswerClient client = client(version, random.nextBoolean())) {
				for (int i = 0; i < 20_000; i++) {
					int firstEvent = 1 + random.nextInt(4);
					String attempt = "c-" + random.nextLong();
					GatewayBrokenAnswersTests.this.scripts.put(attempt,
							GatewayBrokenAnswersTests.this.scripts.randomReplies(attempt, firstEvent, false));
					client.exchange("POST", "/turn/a", attempt, firstEvent, true);
				}
			}
			catch (IOException ex) {
				// The gateway has stopped.
			}
		}

		private void restartGateway() throws Exception {
			GatewayBrokenAnswersTests.this.gateway.stop();
			GatewayBrokenAnswersTests.this.graceMs = SHORT_GRACE_MS;
			GatewayBrokenAnswersTests.this.clientPort = freePort();
			GatewayBrokenAnswersTests.this.readinessPort = freePort();
			GatewayBrokenAnswersTests.this.gateway = new GatewayNode(settings("i-2", freePort(), freePort(), List.of()),
					0, EventLog.NONE);
			GatewayBrokenAnswersTests.this.gateway.start();
			await(() -> readiness() == 200);
		}

		private void stopGateway(boolean isGraceful) throws Exception {
			if (isGraceful) {
				GatewayBrokenAnswersTests.this.gateway.drain();
			}
			else {
				GatewayBrokenAnswersTests.this.gateway.stop();
			}
		}

	}

}
