package dev.nutmegdoor.core.ledger;

import java.util.List;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Provides the instances that can forward messages to replicas of the ledger.
 */
@FunctionalInterface
public interface LedgerProxies {

	/**
	 * Returns the instances that are currently reachable.
	 * @return reachable instances, those of the own availability zone first
	 */
	List<InstanceId> reachable();

}
