package dev.nutmegdoor.experiment.soak;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.program.UnresolvedCall;
import dev.nutmegdoor.core.upstream.ServiceResponse;

/**
 * Two operators who look up unresolved operations at the service and record what they
 * found, at the same time.
 */
final class UnresolvedCallOperators {

	private final SimCluster cluster;

	UnresolvedCallOperators(SimCluster cluster) {
		this.cluster = cluster;
	}

	boolean resolve() {
		boolean hasResolved = false;
		for (SimInstance instance : this.cluster.running()) {
			for (UnresolvedCall call : instance.homes().unresolved()) {
				hasResolved = true;
				resolve(instance, call);
			}
		}
		return hasResolved;
	}

	private void resolve(SimInstance instance, UnresolvedCall call) {
		String name = call.body().isEmpty() ? call.key() : SimServices.nameIn(call.body());
		ServiceResponse answer = this.cluster.services().inspect(name);
		CallResult result = (answer != null)
				? new CallResult(new UpstreamId("orders-1"), answer.status(), answer.body(), 0, 0, 0) : null;
		int[] decided = new int[1];
		for (String operator : new String[] { "one", "two" }) {
			record(instance, call, result, operator, decided);
		}
	}

	private void record(SimInstance instance, UnresolvedCall call, @Nullable CallResult result, String operator,
			int[] decided) {
		instance.host()
			.run(() -> instance.homes().resolve(call.log(), call.key(), result, operator).thenAccept((counts) -> {
				decided[0] += counts ? 1 : 0;
				this.cluster.observer()
					.invariants()
					.check(Invariant.AT_MOST_ONCE, decided[0] <= 1,
							() -> "two operators both resolved " + call.key() + " of " + call.log());
			}));
	}

}
