package dev.nutmegdoor.experiment.soak;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.call.ServiceCall;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.time.VirtualTimerService;
import dev.nutmegdoor.core.upstream.ServiceClient;
import dev.nutmegdoor.core.upstream.ServiceResponse;
import dev.nutmegdoor.core.upstream.UpstreamException;

/**
 * An order service with two replicas over one state. Bookings run as often as they
 * arrive; shipments are remembered by their key and can be asked for.
 */
final class SimServices {

	private static final String QUOTE = "\"";

	private final VirtualTimerService timer;

	private final UniformRandomProvider random;

	private final InvariantObserver observer;

	private final Map<String, ServiceResponse> answers = new HashMap<>();

	private final Set<String> blocked = new HashSet<>();

	private UpstreamFaults faults = UpstreamFaults.NONE;

	private long count;

	SimServices(VirtualTimerService timer, UniformRandomProvider random, InvariantObserver observer) {
		this.timer = timer;
		this.random = random;
		this.observer = observer;
	}

	void setFaults(UpstreamFaults faults) {
		this.faults = faults;
	}

	ServiceClient clientOf(FakeHost host) {
		return new Client(host);
	}

	static String body(String name) {
		return QUOTE + name + QUOTE;
	}

	static String nameIn(String body) {
		return body.substring(1, body.indexOf(QUOTE, 1));
	}

	/**
	 * Lets an operator look an operation up; an operation that has not run never will.
	 * @param name name of the call
	 * @return its answer, or {@code null} if it has not run
	 */
	@Nullable ServiceResponse inspect(String name) {
		ServiceResponse answer = this.answers.get(name);
		if (answer == null) {
			this.blocked.add(name);
		}
		return answer;
	}

	private ServiceResponse execute(ServiceCall call) {
		String name = nameIn(call.body());
		boolean isBooking = call.operation().equals(SimConfiguration.BOOK);
		boolean isLookUp = call.operation().equals(SimConfiguration.LOOK_UP);
		if (this.blocked.contains(name)) {
			return new ServiceResponse(409, name + "=blocked");
		}
		this.observer.received(name);
		ServiceResponse known = this.answers.get(name);
		if (known != null && !isBooking && !isLookUp) {
			return known;
		}
		this.observer.executed(name, !isLookUp);
		ServiceResponse answer = new ServiceResponse(200, name + "=" + this.count++);
		this.answers.put(name, answer);
		return answer;
	}

	private final class Client implements ServiceClient {

		private final FakeHost host;

		private Client(FakeHost host) {
			this.host = host;
		}

		private void fail(CompletableFuture<ServiceResponse> result, RunState run, long delayMs, String detail) {
			this.host.schedule(delayMs, () -> result.completeExceptionally(new UpstreamException(run, detail)));
		}

		@Override
		public CompletableFuture<ServiceResponse> call(Upstream upstream, ServiceCall call, long timeoutMs) {
			return OutboundEffects.call(this.host, () -> {
				CompletableFuture<ServiceResponse> result = new CompletableFuture<>();
				UniformRandomProvider random = SimServices.this.random;
				SimServices.this.timer.schedule(1 + random.nextInt(80), () -> receive(call, timeoutMs, result));
				return result;
			});
		}

		private void receive(ServiceCall call, long timeoutMs, CompletableFuture<ServiceResponse> result) {
			UniformRandomProvider random = SimServices.this.random;
			UpstreamFaults faults = SimServices.this.faults;
			if (random.nextDouble() < faults.refusal()) {
				fail(result, RunState.NOT_RUN, 1, "connection refused");
				return;
			}
			boolean isBefore = random.nextBoolean();
			if (random.nextDouble() < faults.reset()) {
				if (!isBefore) {
					execute(call);
				}
				fail(result, RunState.UNKNOWN, random.nextBoolean() ? 2 : timeoutMs, "no answer");
				return;
			}
			if (random.nextDouble() < faults.error()) {
				if (!isBefore) {
					execute(call);
				}
				this.host.schedule(2, () -> result.complete(new ServiceResponse(500, "failed")));
				return;
			}
			ServiceResponse answer = execute(call);
			this.host.schedule(2, () -> result.complete(answer));
		}

		@Override
		public CompletableFuture<ServiceResponse> query(Upstream upstream, ServiceCall call, long timeoutMs) {
			return OutboundEffects.call(this.host, () -> {
				CompletableFuture<ServiceResponse> result = new CompletableFuture<>();
				SimServices.this.timer.schedule(3, () -> {
					if (SimServices.this.random.nextDouble() < SimServices.this.faults.reset()) {
						fail(result, RunState.UNKNOWN, timeoutMs, "no answer to the query");
						return;
					}
					ServiceResponse answer = inspect(nameIn(call.body()));
					this.host.schedule(2,
							() -> result.complete((answer != null) ? answer : new ServiceResponse(404, "")));
				});
				return result;
			});
		}

	}

}
