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
 * What the controllers of program homes work with.
 *
 * @param timer time of this instance
 * @param transport messages to other instances
 * @param store platform's object API
 * @param members known instances
 * @param lease lease of this instance
 * @param configuration configuration in force
 * @param random seeded generator
 * @param invariants counters of invariants
 * @param steps receives protocol steps
 * @param events event log
 * @param decisions receives decision records
 * @param settings settings
 */
public record ProgramDependencies(TimerService timer, PeerTransport transport, ObjectStore store,
		MembershipView members, InstanceLease lease, ConfigurationView configuration, UniformRandomProvider random,
		InvariantRegistry invariants, StepListener steps, EventLog events, DecisionRecorder decisions,
		ProgramSettings settings) {

}
