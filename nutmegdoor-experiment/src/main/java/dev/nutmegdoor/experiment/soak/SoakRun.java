package dev.nutmegdoor.experiment.soak;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * One randomised run: callers work while faults are caused, then all faults are healed,
 * every caller has to get its answer, and nothing may be left on the engines.
 */
public final class SoakRun {

	private static final int STEP_MS = 120;

	private static final double FAULT_PROBABILITY = 0.03;

	private static final long START_MS = 6_000;

	private final SoakSettings settings;

	private final SimCluster cluster;

	private final Load load;

	private final UniformRandomProvider random;

	private final List<FaultKind> kinds;

	private final Map<FaultKind, Long> caused = new EnumMap<>(FaultKind.class);

	public SoakRun(SoakSettings settings) {
		this.settings = settings;
		this.kinds = List.copyOf(settings.faults());
		this.cluster = new SimCluster(settings.seed(), settings.safeguards(),
				settings.faults().contains(FaultKind.CLOCK_SKEW));
		this.load = new Load(this.cluster, settings.seed());
		this.random = RandomSource.XO_SHI_RO_256_PP.create(settings.seed() ^ 0x5deece66dL);
		this.kinds.forEach((kind) -> this.caused.put(kind, 0L));
	}

	/**
	 * Runs to the end.
	 * @return the report
	 */
	public SoakReport run() {
		try {
			work();
			this.cluster.heal();
			this.load.finish();
		}
		catch (RuntimeException ex) {
			throw new IllegalStateException("seed " + this.settings.seed() + " ended with an error", ex);
		}
		return SoakReport.of(this.settings, this.caused, this.cluster.observer().invariants(), this.cluster.trace(),
				this.cluster.observer().answers());
	}

	private void work() {
		this.cluster.timer().advance(START_MS);
		for (int step = 0; step < this.settings.steps(); step++) {
			if (!this.kinds.isEmpty() && this.random.nextDouble() < FAULT_PROBABILITY) {
				cause(this.kinds.get(this.random.nextInt(this.kinds.size())));
			}
			this.load.act();
			this.cluster.timer().advance(1 + this.random.nextInt(STEP_MS));
		}
	}

	private void cause(FaultKind kind) {
		this.cluster.trace().add("fault " + kind.optionName());
		if (kind.inject(this.cluster, this.random)) {
			this.caused.merge(kind, 1L, Long::sum);
		}
	}

}
