package dev.nutmegdoor.core.ledger;

import java.util.List;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Other instances that can pass messages on to replicas of the ledger.
 */
@FunctionalInterface
public interface LedgerProxies {

	/**
	 * Returns the instances that are in reach.
	 * @return instances, those of the own zone first
	 */
	List<InstanceId> reachable();

}
