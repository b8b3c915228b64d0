package dev.nutmegdoor.experiment.soak;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.call.ServiceCall;
import dev.nutmegdoor.core.id.DecisionId;
import dev.nutmegdoor.core.id.KeyId;

/**
 * A caller without a program: makes one booking under an idempotency key and repeats it
 * through any instance until it has a definite answer.
 */
final class IdempotentCaller {

	private static final long TIMEOUT_MS = 8_000;

	private static final long RETRY_MS = 900;

	private final SimCluster cluster;

	private final UniformRandomProvider random;

	private final String name;

	private final ServiceCall call;

	private long attempts;

	private boolean isBusy;

	private boolean isDone;

	IdempotentCaller(SimCluster cluster, UniformRandomProvider random, String name) {
		this.cluster = cluster;
		this.random = random;
		this.name = name;
		String operation = random.nextBoolean() ? SimConfiguration.BOOK : SimConfiguration.SHIP;
		String key = random.nextBoolean() ? cluster.timer().wallClockMs() + "-" + name : name;
		this.call = new ServiceCall(SimConfiguration.SERVICE, operation, SimServices.body(name), key);
	}

	boolean isDone() {
		return this.isDone;
	}

	String describe() {
		return "keyed call " + this.name;
	}

	void act() {
		if (this.isBusy || this.isDone) {
			return;
		}
		this.isBusy = true;
		start(this::ended);
		if (this.random.nextInt(4) == 0) {
			start((result, refusal) -> {
			});
		}
	}

	private void start(AttemptListener listener) {
		SimInstance entry = this.cluster.anyRunning(this.random);
		CallRequest request = new CallRequest(new DecisionId(this.name + "-" + this.attempts++), SimConfiguration.LARGE,
				new KeyId("k"), null, 0, "", this.call, TIMEOUT_MS);
		new Attempt(this.cluster, entry, this.name, request, listener).start();
	}

	private void ended(@Nullable CallResult result, @Nullable Refusal refusal) {
		boolean isUnknown = refusal != null && refusal.reason() == RefusalReason.OUTCOME_UNKNOWN;
		if (result != null || isUnknown) {
			this.isDone = true;
		}
		this.cluster.timer().schedule(RETRY_MS, () -> this.isBusy = false);
	}

}
