package dev.nutmegdoor.experiment.soak;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.DirectCallRunner;
import dev.nutmegdoor.core.call.ForwardedCalls;
import dev.nutmegdoor.core.call.RoutingCallRunner;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.explain.DecisionRecorder;
import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.fault.InstanceStoppedException;
import dev.nutmegdoor.core.fault.Step;
import dev.nutmegdoor.core.fault.StepListener;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.program.ProgramDependencies;
import dev.nutmegdoor.core.program.ProgramHomes;
import dev.nutmegdoor.core.program.Safeguards;
import dev.nutmegdoor.core.upstream.ServiceClient;

/**
 * One simulated instance with its real controllers.
 */
public final class SimInstance {

	private final FakeHost host;

	private final SimLease lease;

	private final ProgramHomes homes;

	private final RoutingCallRunner routing;

	private final Observer observer;

	private final EventLog log;

	private @Nullable Step armedStep;

	private Runnable armedAction = () -> {
	};

	private long stepsReached;

	SimInstance(SimCluster cluster, FakeHost host, UniformRandomProvider random, Safeguards safeguards) {
		this.host = host;
		this.observer = cluster.observer();
		this.log = cluster.trace().logOf(host.id().value());
		this.lease = cluster.leases().join(host);
		SimTransport transport = new SimTransport(host, cluster.peers().join(host));
		SimStore store = new SimStore(host, cluster.store().clientOf(host));
		SimMembers members = new SimMembers(cluster.network(), host, cluster.leaving());
		EventLog events = this::event;
		StepListener steps = this::reached;
		ProgramDependencies dependencies = new ProgramDependencies(host, transport, store, members, this.lease,
				cluster.configuration(), random, this.observer.invariants(), steps, events, DecisionRecorder.NONE,
				cluster.programSettings());
		ServiceClient services = cluster.services().clientOf(host);
		this.homes = new ProgramHomes(dependencies, cluster.engines().clientOf(host), services, safeguards);
		this.homes.setLower(new DirectCallRunner(cluster.configuration(), this.homes.engineClient(), services));
		new ForwardedCalls(dependencies, this.homes);
		this.routing = new RoutingCallRunner(dependencies, this.homes);
	}

	FakeHost host() {
		return this.host;
	}

	SimLease lease() {
		return this.lease;
	}

	ProgramHomes homes() {
		return this.homes;
	}

	RoutingCallRunner routing() {
		return this.routing;
	}

	boolean isRunning() {
		return !this.host.isCrashed() && !this.host.isPaused();
	}

	/**
	 * Causes a fault the next time a step is reached.
	 * @param step the step
	 * @param action the fault; throws to end the callback
	 */
	void arm(Step step, Runnable action) {
		this.armedStep = step;
		this.armedAction = action;
	}

	void disarm() {
		this.armedStep = null;
	}

	boolean isArmed() {
		return this.armedStep != null;
	}

	void crashAtStep(Step step) {
		this.host.crash();
		throw new InstanceStoppedException(step);
	}

	private void reached(Step step) {
		this.stepsReached++;
		if (this.host.isCrashed()) {
			throw new InstanceStoppedException(step);
		}
		if (step == this.armedStep) {
			this.armedStep = null;
			this.log.record("fault.at", "step", step);
			this.armedAction.run();
		}
	}

	long stepsReached() {
		return this.stepsReached;
	}

	private void event(String event, Object... fields) {
		if (this.host.isCrashed()) {
			return;
		}
		this.log.record(event, fields);
		if (event.equals("log.acknowledged")) {
			this.observer.acknowledged((ProgramId) fields[1], (Integer) fields[3], (Long) fields[5]);
		}
		else if (event.equals("program.forgotten")) {
			this.observer.forgotten((ProgramId) fields[1]);
		}
	}

}
