package dev.nutmegdoor.experiment.soak;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.ProgramId;

/**
 * Callers of a simulated deployment.
 */
public final class Load {

	private static final int AGENTS = 14;

	private static final int KEYED_CALLERS = 4;

	/** Longer than the expiry of leases, takeovers and the deadlines of all callers. */
	private static final long HEALED_MS = 180_000;

	/** Enough for releases to be repeated and acknowledged after the last call. */
	private static final long QUIET_MS = 20_000;

	private static final int PERIOD_MS = 200;

	private final SimCluster cluster;

	private final UniformRandomProvider random;

	private final List<Agent> agents = new ArrayList<>();

	private final List<IdempotentCaller> keyedCallers = new ArrayList<>();

	private int callers;

	public Load(SimCluster cluster, long seed) {
		this.cluster = cluster;
		this.random = RandomSource.XO_SHI_RO_256_PP.create(seed ^ 0x2545f4914f6cdd1dL);
	}

	/**
	 * Lets one or two callers make their next call.
	 */
	public void act() {
		this.agents.removeIf(Agent::isDone);
		this.keyedCallers.removeIf(IdempotentCaller::isDone);
		if (this.agents.size() < AGENTS) {
			ProgramId parent = (this.random.nextInt(4) == 0) ? parent() : null;
			this.agents.add(new Agent(this.cluster, split(), "agent-" + this.callers++, parent));
		}
		if (this.keyedCallers.size() < KEYED_CALLERS && this.random.nextInt(10) == 0) {
			this.keyedCallers.add(new IdempotentCaller(this.cluster, split(), "key-" + this.callers++));
		}
		this.agents.get(this.random.nextInt(this.agents.size())).act();
		if (!this.keyedCallers.isEmpty()) {
			this.keyedCallers.get(this.random.nextInt(this.keyedCallers.size())).act();
		}
	}

	private @Nullable ProgramId parent() {
		for (Agent agent : this.agents) {
			if (agent.openProgram() != null) {
				return agent.openProgram();
			}
		}
		return null;
	}

	private UniformRandomProvider split() {
		return RandomSource.XO_SHI_RO_256_PP.create(this.random.nextLong());
	}

	/**
	 * Lets all callers finish, and checks that each got its answer and that the engines
	 * hold nothing of ended programs. All faults must have been healed before.
	 */
	public void finish() {
		this.agents.forEach(Agent::finish);
		long quietMs = 0;
		for (long elapsedMs = 0; elapsedMs < HEALED_MS && quietMs < QUIET_MS; elapsedMs += PERIOD_MS) {
			boolean isQuiet = this.agents.stream().allMatch(Agent::isDone)
					&& this.keyedCallers.stream().allMatch(IdempotentCaller::isDone);
			quietMs = isQuiet ? quietMs + PERIOD_MS : 0;
			this.agents.forEach(Agent::act);
			this.keyedCallers.forEach(IdempotentCaller::act);
			this.cluster.timer().advance(PERIOD_MS);
		}
		for (Agent agent : this.agents) {
			this.cluster.observer().checkAnswered(agent.describe(), agent.isDone());
		}
		for (IdempotentCaller caller : this.keyedCallers) {
			this.cluster.observer().checkAnswered(caller.describe(), caller.isDone());
		}
		this.cluster.engines().checkReleased();
		for (SimInstance instance : this.cluster.instances()) {
			this.cluster.trace().add("dump " + instance.host().id() + " " + instance.homes().dump());
		}
	}

}
