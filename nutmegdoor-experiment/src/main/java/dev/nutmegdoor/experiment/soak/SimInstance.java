package dev.nutmegdoor.experiment.soak;

import java.util.List;

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
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.lease.LeaseController;
import dev.nutmegdoor.core.lease.LeaseSettings;
import dev.nutmegdoor.core.lease.LeaseState;
import dev.nutmegdoor.core.limit.LimitController;
import dev.nutmegdoor.core.limit.LimitSettings;
import dev.nutmegdoor.core.membership.Member;
import dev.nutmegdoor.core.membership.MemberState;
import dev.nutmegdoor.core.membership.MembershipController;
import dev.nutmegdoor.core.membership.MembershipSettings;
import dev.nutmegdoor.core.program.ProgramDependencies;
import dev.nutmegdoor.core.program.ProgramHomes;
import dev.nutmegdoor.core.program.Safeguards;
import dev.nutmegdoor.core.upstream.ServiceClient;

/**
 * One simulated instance with its real controllers.
 */
public final class SimInstance {

	private final FakeHost host;

	private final RenewalBlocker leaseBlock;

	private final MembershipController members;

	private final LeaseController lease;

	private final LimitController limiter;

	private final SimOperations operations;

	private final ProgramHomes homes;

	private final RoutingCallRunner routing;

	private final InvariantObserver observer;

	private final EventLog log;

	private @Nullable Step armedStep;

	private Runnable armedAction = () -> {
	};

	private long stepsReached;

	private boolean isDraining;

	SimInstance(SimCluster cluster, FakeHost host, UniformRandomProvider random, Safeguards safeguards) {
		this.host = host;
		this.observer = cluster.observer();
		this.log = cluster.trace().logOf(host.id().value());
		this.leaseBlock = new RenewalBlocker(host);
		SimTransport transport = new SimTransport(host, cluster.peers().join(host), this.leaseBlock);
		SimStore store = new SimStore(host, cluster.store().clientOf(host), this.leaseBlock);
		EventLog events = this::event;
		StepListener steps = this::reached;
		Member self = new Member(host.id(), host.availabilityZone(), "127.0.0.1", 1, MemberState.LIVE);
		this.members = new MembershipController(self, host, transport, () -> cluster.network().directory(host), random,
				events, MembershipSettings.DEFAULT);
		this.lease = new LeaseController(host, transport, store, this.members, random, steps, events,
				LeaseSettings.DEFAULT);
		this.limiter = new LimitController(host, transport, store, this.members, this.lease, this.lease,
				cluster.configuration(), random, this.observer.invariants(), steps, events, this::admitted,
				LimitSettings.DEFAULT);
		ProgramDependencies dependencies = new ProgramDependencies(host, transport, store, this.members, this.lease,
				cluster.configuration(), random, this.observer.invariants(), steps, events, DecisionRecorder.NONE,
				cluster.programSettings());
		ServiceClient services = cluster.services().clientOf(host);
		this.homes = new ProgramHomes(dependencies, cluster.engines().clientOf(host), services, safeguards);
		this.homes.setNextLayer(new DirectCallRunner(cluster.configuration(), this.homes.engineClient(), services));
		new ForwardedCalls(dependencies, this.homes);
		this.routing = new RoutingCallRunner(dependencies, this.homes);
		this.operations = new SimOperations(host, transport, store, this.members, random, this.observer.invariants(),
				steps, events);
		this.lease.subscribe((state) -> {
			if (state == LeaseState.FENCED && !this.isDraining) {
				cluster.replaceFenced(this);
			}
		});
		host.run(() -> {
			this.members.start(List.of());
			this.lease.start();
			this.limiter.start();
			this.operations.start();
		});
	}

	private void admitted(WorkspaceId workspace) {
		if (!this.host.isCrashed()) {
			this.observer.admitted(workspace);
		}
	}

	/**
	 * Drains the instance as a daemon does before it ends.
	 */
	void drain() {
		this.isDraining = true;
		this.members.leave();
		this.homes.controller().drain().thenRun(() -> this.limiter.drain().thenRun(this.lease::release));
	}

	SimOperations operations() {
		return this.operations;
	}

	LimitController limiter() {
		return this.limiter;
	}

	FakeHost host() {
		return this.host;
	}

	RenewalBlocker leaseBlock() {
		return this.leaseBlock;
	}

	LeaseController lease() {
		return this.lease;
	}

	ProgramHomes homes() {
		return this.homes;
	}

	RoutingCallRunner routing() {
		return this.routing;
	}

	boolean isHealthy() {
		return isRunning() && !isArmed() && this.lease.isValid() && !this.leaseBlock.isActive();
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

	/**
	 * Ends the instance in the middle of its current callback.
	 * @param step step that the instance has reached
	 */
	public void crashAtStep(Step step) {
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
