package dev.nutmegdoor.core.program;

import org.apache.commons.rng.UniformRandomProvider;

import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.explain.DecisionRecorder;
import dev.nutmegdoor.core.fault.StepListener;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.lease.InstanceLease;
import dev.nutmegdoor.core.membership.MembershipView;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Collaborators shared by the controllers of program homes.
 *
 * @param timer clocks and timers of this instance
 * @param transport sends messages to other instances
 * @param store the platform's object store
 * @param members membership view of this instance
 * @param lease lease of this instance
 * @param configuration active configuration
 * @param random seeded random generator
 * @param invariants counts checks and violations of invariants
 * @param steps notified of protocol steps, for fault injection
 * @param events event log
 * @param decisions receives decision records
 * @param settings settings of program homes
 */
public record ProgramDependencies(TimerService timer, PeerTransport transport, ObjectStore store,
		MembershipView members, InstanceLease lease, ConfigurationView configuration, UniformRandomProvider random,
		InvariantRegistry invariants, StepListener steps, EventLog events, DecisionRecorder decisions,
		ProgramSettings settings) {

}
