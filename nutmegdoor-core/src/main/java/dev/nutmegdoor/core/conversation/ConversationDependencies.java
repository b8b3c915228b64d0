package dev.nutmegdoor.core.conversation;

import java.util.function.BooleanSupplier;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.ledger.LedgerMembers;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Components that {@link ConversationClient} uses.
 *
 * @param transport sends messages to members
 * @param members members of the ledger, which store the turns
 * @param timer clock and scheduler
 * @param invariants checks that chains are unbroken and belong to one workspace
 * @param events log of stored and read turns
 * @param zone availability zone of this process
 * @param tolerance failures that a stored turn must survive
 * @param isMemberListRead returns whether this process has read the list of members from
 * the platform's store, which contains all of them
 */
public record ConversationDependencies(PeerTransport transport, LedgerMembers members, TimerService timer,
		InvariantRegistry invariants, EventLog events, AvailabilityZone zone, FailureTolerance tolerance,
		BooleanSupplier isMemberListRead) {

}
