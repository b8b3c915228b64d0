package dev.nutmegdoor.experiment.load;

import java.util.List;

import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.invariant.InvariantRegistry;

/**
 * Entry instances under load, and what operators do to them.
 */
public interface Fleet extends AutoCloseable {

	/**
	 * Returns the instances.
	 * @return all instances that were started
	 */
	List<FleetInstance> instances();

	/**
	 * Puts a new configuration in force; returns when it is accepted.
	 * @param configuration the configuration
	 */
	void apply(Configuration configuration);

	/**
	 * Withdraws a key; returns when the withdrawal is accepted.
	 * @param key identifier of the key
	 */
	void withdraw(KeyId key);

	/**
	 * Returns whether a program can be used only through the instance that opened it.
	 * @return {@code true} if callers must stay with that instance
	 */
	boolean isProgramPinned();

	/**
	 * Returns the registries in which the instances count their checks.
	 * @return one registry for each instance
	 */
	List<InvariantRegistry> invariants();

	@Override
	void close();

}
