package dev.nutmegdoor.experiment.faults;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;

import dev.nutmegdoor.core.fault.Step;
import dev.nutmegdoor.experiment.soak.SimCluster;

/**
 * What leads to each step, besides the calls that run in every cell. A step without an
 * entry fails the build.
 */
final class Scenarios {

	private static final Map<Step, Consumer<SimCluster>> ALL = new EnumMap<>(Step.class);

	static {
		ALL.put(Step.LEASE_RENEW, Scenarios::calls);
		ALL.put(Step.LEASE_FENCE, SimCluster::crashOwner);
		ALL.put(Step.ADMIT, Scenarios::calls);
		ALL.put(Step.SHARE_SEND, Scenarios::calls);
		ALL.put(Step.SHARE_RECEIVE, Scenarios::calls);
		ALL.put(Step.FORWARD, Scenarios::calls);
		ALL.put(Step.APPEND, Scenarios::calls);
		ALL.put(Step.APPEND_DONE, Scenarios::calls);
		ALL.put(Step.DISPATCH, Scenarios::calls);
		ALL.put(Step.STREAM, Scenarios::calls);
		ALL.put(Step.SETTLE, Scenarios::calls);
		ALL.put(Step.TAKEOVER_CLAIM, SimCluster::crashOwner);
		ALL.put(Step.TAKEOVER_READ, SimCluster::crashOwner);
		ALL.put(Step.HAND_OVER, SimCluster::drainOwner);
		ALL.put(Step.DRAIN, SimCluster::drainOwner);
		ALL.put(Step.CONFIGURATION_COMMIT, SimCluster::changeConfiguration);
		ALL.put(Step.CONFIGURATION_APPLY, SimCluster::changeConfiguration);
		ALL.put(Step.KEY_WITHDRAW, SimCluster::withdrawKey);
		ALL.put(Step.KEY_WITHDRAW_APPLY, SimCluster::withdrawKey);
	}

	private Scenarios() {
	}

	private static void calls(SimCluster cluster) {
		// The calls of every cell lead to the step.
	}

	static Map<Step, Consumer<SimCluster>> all() {
		return ALL;
	}

}
