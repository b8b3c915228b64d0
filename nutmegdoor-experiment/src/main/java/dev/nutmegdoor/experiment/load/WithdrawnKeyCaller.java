package dev.nutmegdoor.experiment.load;

import java.util.UUID;

import dev.nutmegdoor.core.invariant.Invariant;

/**
 * A caller whose key is withdrawn while it receives a long stream, and who goes on trying
 * the key afterwards.
 */
final class WithdrawnKeyCaller {

	/** About 25 s on an idle engine, longer than a withdrawal may take. */
	private static final int STREAM_TOKENS = 1_000;

	private static final int PROBES = 8;

	private static final long PROBE_GAP_MS = 500;

	private static final int MAX_ATTEMPTS = 20;

	private final LoadContext context;

	private final DemoWorkspace workspace;

	WithdrawnKeyCaller(LoadContext context, DemoWorkspace workspace) {
		this.context = context;
		this.workspace = workspace;
	}

	void run() {
		try {
			CallOutcome outcome = CallOutcome.failed();
			for (int i = 0; i < MAX_ATTEMPTS && !outcome.problem().equals("key-withdrawn"); i++) {
				String content = UpstreamChecker.mark("withdrawn-" + UUID.randomUUID(), 1);
				outcome = this.context.sendOnce(this.workspace, this.context.nextAddress(), ProgramCaller
					.chat(this.context.deployment(), this.workspace, firstWorkKind(), content, STREAM_TOKENS));
				Thread.sleep(PROBE_GAP_MS / 10);
			}
			boolean isEnded = outcome.problem().equals("key-withdrawn");
			this.context.invariants()
				.check(Invariant.KEY_WITHDRAWAL, isEnded, () -> "the stream of a withdrawn key was not ended");
			for (int i = 0; i < PROBES; i++) {
				Thread.sleep(PROBE_GAP_MS);
				this.context.sendOnce(this.workspace, this.context.nextAddress(), ProgramCaller
					.operation(this.workspace, this.context.deployment().deferrable(), UUID.randomUUID().toString()));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private String firstWorkKind() {
		return this.context.deployment().workKinds().get(0).name();
	}

}
