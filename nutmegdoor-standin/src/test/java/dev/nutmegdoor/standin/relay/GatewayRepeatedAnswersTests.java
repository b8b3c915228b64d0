package dev.nutmegdoor.standin.relay;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Tests a gateway with faulty replicas that write some of their answers once more. The
 * system properties {@code repeatedAnswers.seed}, {@code .seeds}, {@code .requests} and
 * {@code .replicas} set the first seed, the number of seeds, the number of requests of
 * each client, and the sizes of the services for long runs by hand.
 */
class GatewayRepeatedAnswersTests extends GatewayEnvironment {

	private static final int CLIENTS = 16;

	private static final int MAX_SEEDS = 200;

	private static final int MAX_REQUESTS = 1_000;

	private static final int MAX_SIZE = 16;

	private static final int MAX_SERVICES = 8;

	private static final long CLIENT_LIMIT_MS = 120_000;

	private static final int PRINTED_VIOLATIONS = 3;

	private final List<RepeatingReplica> replicas = new ArrayList<>();

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4);

	private final ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);

	private static List<Integer> sizes() {
		return Stream.of(System.getProperty("repeatedAnswers.replicas", "1,2,16").split(","))
			.limit(MAX_SERVICES)
			.map((size) -> Math.min(MAX_SIZE, Integer.parseInt(size)))
			.toList();
	}

	@Override
	void putDeployment() throws Exception {
		String services = sizes().stream()
			.map((size) -> "{\"Name\":\"s%d\",\"Engine\":{\"Stride\":6}}".formatted(size))
			.collect(Collectors.joining(","));
		String routes = sizes().stream().map(GatewayRepeatedAnswersTests::routes).collect(Collectors.joining(","));
		put("config", "main", """
				{"Version":1,"Limits":{"IdleTimeoutMs":60000},"Routes":[%s],"Services":[%s],
				"Tenants":[{"Name":"w","ApiKeys":["key-1"],"RatePerS":100000,"Burst":100000}]}""".formatted(routes,
				services));
	}

	private static String routes(int size) {
		return """
				{"Name":"safe%1$d","Host":"h.example","Prefix":"/safe%1$d/","Kind":"safe","Attempts":3,
				"TimeoutMs":2000,"Service":"s%1$d"},
				{"Name":"once%1$d","Host":"h.example","Prefix":"/once%1$d/","Kind":"unsafe","Attempts":3,
				"TimeoutMs":2000,"Service":"s%1$d"},
				{"Name":"turn%1$d","Host":"h.example","Prefix":"/turn%1$d/","Kind":"stream","Resumable":true,
				"Attempts":3,"TimeoutMs":2000,"RetainS":60,"Service":"s%1$d"},
				{"Name":"turnonce%1$d","Host":"h.example","Prefix":"/turnonce%1$d/","Kind":"stream",
				"Attempts":3,"TimeoutMs":2000,"Service":"s%1$d"}""".formatted(size);
	}

	@AfterEach
	void stopReplicas() throws IOException {
		this.clients.shutdownNow();
		this.timer.shutdownNow();
		for (RepeatingReplica replica : this.replicas) {
			replica.close();
		}
	}

	private void stopServices() throws Exception {
		for (RepeatingReplica replica : this.replicas) {
			replica.close();
			delete("servers", replica.id);
		}
		this.replicas.clear();
	}

	private void delete(String kind, String name) throws Exception {
		URI uri = URI
			.create("http://" + HOST + ":" + this.platform.address().getPort() + "/objects/" + kind + "/" + name);
		HttpRequest request = HttpRequest.newBuilder(uri).timeout(Duration.ofMillis(LIMIT_MS)).DELETE().build();
		assertThat(this.client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode(), is(200));
	}

	private void check(RepetitionPlan plan) throws Exception {
		long firstSeed = Long.getLong("repeatedAnswers.seed", 1);
		int seeds = Math.min(MAX_SEEDS, Integer.getInteger("repeatedAnswers.seeds", 1));
		for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
			run(plan.with(seed));
		}
	}

	private void run(RepetitionPlan plan) throws Exception {
		AttemptRecorder recorder = new AttemptRecorder();
		startServices(plan, recorder);
		int requests = Math.min(MAX_REQUESTS, Integer.getInteger("repeatedAnswers.requests", 30));
		List<Future<?>> running = new ArrayList<>();
		for (int i = 0; i < CLIENTS; i++) {
			running.add(this.clients
				.submit(new RepeatedAnswersClient(this.clientPort, plan, i, requests, sizes(), recorder)));
		}
		for (Future<?> client : running) {
			client.get(CLIENT_LIMIT_MS, TimeUnit.MILLISECONDS);
		}
		await(recorder::isIdle);
		stopServices();
		List<AttemptRecorder.Violation> violations = recorder.check();
		String trace = violations.stream()
			.limit(PRINTED_VIOLATIONS)
			.map(String::valueOf)
			.collect(Collectors.joining("\n"));
		assertThat(plan + ", services of " + sizes() + " replicas: " + AttemptRecorder.count(violations) + "\n" + trace,
				violations, is(empty()));
		assertThat(plan + ": answers were repeated", recorder.repetitions(), is(greaterThan(0)));
		assertThat(plan + ": requests succeeded", recorder.successes(), is(greaterThan(0L)));
	}

	private void startServices(RepetitionPlan plan, AttemptRecorder recorder) throws Exception {
		for (int size : sizes()) {
			for (int i = 0; i < size; i++) {
				String id = "r-" + plan.seed() + "-" + size + "-" + i;
				RepeatingReplica replica = new RepeatingReplica(id, recorder, plan, this.timer);
				this.replicas.add(replica);
				put("servers", id, """
						{"Service":"s%d","Addr":"%s:%d","Zone":"a","Slots":6,"State":"ready","Seq":1}""".formatted(size,
						HOST, replica.port()));
			}
		}
		await(() -> dump().contains("replicas=" + this.replicas.size()));
	}

	@Nested
	class WholeRepetitions {

		// Guards against a repeated answer that is taken for the one to another send.
		@ParameterizedTest
		@EnumSource(RepeatedAnswers.class)
		void areNoAnswersToOtherSends(RepeatedAnswers answers) throws Exception {
			check(RepetitionPlan.DEFAULT.with(answers));
		}

		// Guards against "not run" for a request that ran, taken from a repeated refusal.
		@ParameterizedTest
		@EnumSource(value = ReplicaErrors.class, mode = EnumSource.Mode.EXCLUDE, names = "PLAIN")
		void areNoAnswersToOtherSendsForErrorsOfKind(ReplicaErrors errors) throws Exception {
			check(RepetitionPlan.DEFAULT.with(errors));
		}

		// Guards against bytes that arrive before a request and are decoded as its
		// answer.
		@ParameterizedTest
		@EnumSource(value = RepetitionTime.class, mode = EnumSource.Mode.EXCLUDE, names = "ANY")
		void areNoAnswersToOtherSendsAtTime(RepetitionTime time) throws Exception {
			check(RepetitionPlan.DEFAULT.with(time));
		}

	}

	@Nested
	class OtherRepetitions {

		// Guards against a partial or unidentified repetition that joins the next answer.
		@ParameterizedTest
		@EnumSource(value = RepetitionForm.class, mode = EnumSource.Mode.EXCLUDE, names = "WHOLE")
		void areNoPartOfNextAnswer(RepetitionForm form) throws Exception {
			check(RepetitionPlan.DEFAULT.with(form));
		}

	}

	@Nested
	class RequestsWithoutId {

		// Guards against the answer to another attempt for a request that names none.
		@Test
		void getOnlyTheirOwnAnswers() throws Exception {
			check(RepetitionPlan.DEFAULT.with(RequestMix.WITHOUT_ID));
		}

	}

	@Nested
	class HeadRequests {

		// Guards against a wrong end of a response because of another request's method.
		@Test
		void getOnlyTheirOwnAnswers() throws Exception {
			check(RepetitionPlan.DEFAULT.with(RequestMix.HEAD));
		}

	}

}
