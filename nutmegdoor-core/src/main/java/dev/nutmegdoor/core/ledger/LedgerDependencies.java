package dev.nutmegdoor.core.ledger;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Components that {@link TokenBudgets} uses to reserve tokens.
 *
 * @param transport sends messages to the replicas of the ledger and to other instances
 * @param members replicas of the ledger
 * @param proxies instances that may reach replicas that this instance cannot reach
 * @param timer clock and scheduler
 * @param invariants checks that granted turns do not exceed their budgets
 * @param events log of replicas that become unreachable or reachable
 * @param settings timeouts and periods
 */
public record LedgerDependencies(PeerTransport transport, LedgerMembers members, LedgerProxies proxies,
		TimerService timer, InvariantRegistry invariants, EventLog events, LedgerSettings settings) {

}
