package dev.nutmegdoor.experiment.soak;

import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;

import dev.nutmegdoor.core.configuration.ConfigurationChange;
import dev.nutmegdoor.core.configuration.ConfigurationController;
import dev.nutmegdoor.core.configuration.ConfigurationEdit;
import dev.nutmegdoor.core.configuration.ConfigurationHeartbeat;
import dev.nutmegdoor.core.configuration.ConfigurationSection;
import dev.nutmegdoor.core.configuration.ConfigurationSettings;
import dev.nutmegdoor.core.distribution.LocalPersistence;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.fault.StepListener;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.key.KeyController;
import dev.nutmegdoor.core.key.KeySettings;
import dev.nutmegdoor.core.key.WithdrawalController;
import dev.nutmegdoor.core.key.WithdrawalHeartbeat;
import dev.nutmegdoor.core.membership.MembershipController;

/**
 * Configuration and keys of a simulated instance, and what operators do to them. Calls
 * use the fixed {@link SimConfiguration}, so that a change does not alter the load.
 */
final class SimOperations {

	private final ConfigurationController configuration;

	private final WithdrawalController withdrawals;

	private final KeyController keys;

	SimOperations(FakeHost host, SimTransport transport, SimStore store, MembershipController members,
			UniformRandomProvider random, InvariantRegistry invariants, StepListener steps, EventLog events) {
		this.configuration = new ConfigurationController(ConfigurationSettings.DEFAULT, host, transport, store, members,
				LocalPersistence.NONE, random, invariants, steps, events);
		this.withdrawals = new WithdrawalController(KeySettings.DEFAULT, host, transport, store, members,
				LocalPersistence.NONE, random, invariants, steps, events);
		this.keys = new KeyController(this.configuration, this.withdrawals, random::nextBytes, host, invariants);
		members.register(new ConfigurationHeartbeat(this.configuration));
		members.register(new WithdrawalHeartbeat(this.withdrawals));
	}

	void start() {
		this.configuration.start();
		this.withdrawals.start();
	}

	long version() {
		return this.configuration.version();
	}

	/**
	 * Changes the burst of a workspace.
	 * @param author who changes it
	 * @param burst new burst
	 */
	void change(String author, int burst) {
		this.configuration.change(new ConfigurationChange(author, "test", null, List.of(ConfigurationEdit
			.merge(ConfigurationSection.WORKSPACES, "changed", Map.of("ratePerSecond", 1, "burst", burst)))));
	}

	void withdraw(String key) {
		this.keys.withdraw(new KeyId(key), "operator", "test");
	}

	boolean isWithdrawn(String key) {
		return this.withdrawals.isWithdrawn(new KeyId(key));
	}

}
