package dev.nutmegdoor.experiment.load;

import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import dev.nutmegdoor.core.id.ProgramId;

/**
 * Callers of one workspace: programs and single requests arrive at random, independently
 * of how fast earlier ones are answered.
 */
final class WorkspaceLoad {

	/** Part of the workspace's rate that its programs use on average. */
	private static final double PROGRAM_PART = 0.3;

	/** Part of the workspace's rate that its single requests use on average. */
	private static final double SINGLE_PART = 0.2;

	/** Rate of the heavy workspace as a multiple of what it may send. */
	private static final double HEAVY_FACTOR = 5;

	private static final int HEAVY_TOKENS = 16;

	private final LoadContext context;

	private final DemoWorkspace workspace;

	private final boolean isHeavy;

	private final ExecutorService callers;

	private final UniformRandomProvider random;

	private final Set<ProgramId> closedPrograms;

	WorkspaceLoad(LoadContext context, DemoWorkspace workspace, boolean isHeavy, ExecutorService callers, long seed,
			Set<ProgramId> closedPrograms) {
		this.context = context;
		this.workspace = workspace;
		this.isHeavy = isHeavy;
		this.callers = callers;
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.closedPrograms = closedPrograms;
	}

	/**
	 * Starts callers until a time.
	 * @param endNs end of the load
	 */
	void run(long endNs) {
		double programsPerSecond = PROGRAM_PART * this.workspace.ratePerSecond() / meanRequests();
		double singlesPerSecond = (this.isHeavy ? HEAVY_FACTOR : SINGLE_PART) * this.workspace.ratePerSecond();
		double total = programsPerSecond + singlesPerSecond;
		while (System.nanoTime() < endNs && !Thread.currentThread().isInterrupted()) {
			double gapSeconds = -Math.log(1 - this.random.nextDouble()) / total;
			try {
				TimeUnit.MICROSECONDS.sleep(Math.round(gapSeconds * 1e6));
			}
			catch (InterruptedException ex) {
				return;
			}
			if (this.context.isWithdrawn(this.workspace.id())) {
				// The withdrawn caller goes on alone.
				continue;
			}
			start(this.random.nextDouble() * total < programsPerSecond);
		}
	}

	private double meanRequests() {
		double requests = 0;
		double weight = 0;
		for (ProgramShape shape : this.context.deployment().programs()) {
			requests += shape.weight() * shape.requests();
			weight += shape.weight();
		}
		return requests / weight;
	}

	private void start(boolean isProgram) {
		UniformRandomProvider own = RandomSource.XO_RO_SHI_RO_128_PP.create(this.random.nextLong());
		try {
			this.callers.execute(() -> {
				try {
					if (isProgram) {
						this.closedPrograms
							.addAll(new ProgramCaller(this.context, this.workspace, draw(own), own).run());
					}
					else if (this.isHeavy && own.nextBoolean()) {
						generate();
					}
					else {
						operate();
					}
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			});
		}
		catch (RejectedExecutionException ex) {
			// More callers at once than the run allows; the arrival is dropped.
			this.context.measures().abandoned();
		}
	}

	private ProgramShape draw(UniformRandomProvider own) {
		List<ProgramShape> shapes = this.context.deployment().programs();
		int drawn = own.nextInt(shapes.stream().mapToInt(ProgramShape::weight).sum());
		for (ProgramShape shape : shapes) {
			drawn -= shape.weight();
			if (drawn < 0) {
				return shape;
			}
		}
		return shapes.get(0);
	}

	private void operate() {
		String reference = UUID.randomUUID().toString();
		CallOutcome outcome = this.context.sendOnce(this.workspace, this.context.nextAddress(),
				ProgramCaller.operation(this.workspace, this.context.deployment().deferrable(), reference));
		if (outcome.isSuccess()) {
			ProgramCaller.checkEcho(this.context, reference, outcome);
		}
	}

	private void generate() {
		String content = UpstreamChecker.mark("single-" + UUID.randomUUID(), 1);
		CallOutcome outcome = this.context.sendOnce(this.workspace, this.context.nextAddress(),
				ProgramCaller.chat(this.context.deployment(), this.workspace,
						this.context.deployment().deferrable().workKind(), content, HEAVY_TOKENS));
		if (outcome.isSuccess()) {
			ProgramCaller.checkAnswer(this.context, content, outcome);
		}
	}

	static Set<ProgramId> newProgramSet() {
		return ConcurrentHashMap.newKeySet();
	}

}
