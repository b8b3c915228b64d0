package dev.nutmegdoor.core.ledger;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.time.TimerService;

/**
 * What an instance needs to reserve tokens.
 *
 * @param transport messages to the replicas of the ledger
 * @param members replicas of the ledger
 * @param proxies instances that may reach replicas that this one doesn't
 * @param timer source of time
 * @param invariants checks that a granted turn fits into its budget
 * @param events receives replicas that are lost or regained
 * @param settings figures of the ledger
 */
public record LedgerDependencies(PeerTransport transport, LedgerMembers members, LedgerProxies proxies,
		TimerService timer, InvariantRegistry invariants, EventLog events, LedgerSettings settings) {

}
