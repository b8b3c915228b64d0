package dev.nutmegdoor.experiment.soak;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallPayload;
import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.ModelCall;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.call.ServiceCall;
import dev.nutmegdoor.core.id.DecisionId;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * A caller that runs one program: opens it, makes its calls one after the other through
 * any instance, repeats what failed, and closes it.
 */
final class Agent {

	private static final long TIMEOUT_MS = 12_000;

	private static final long RETRY_MS = 700;

	private static final KeyId KEY = new KeyId("k");

	private final SimCluster cluster;

	private final UniformRandomProvider random;

	private final WorkspaceId workspace;

	private final @Nullable ProgramId parent;

	private final int turns;

	private final String label;

	private @Nullable ProgramId program;

	private int turn = 1;

	private long attempts;

	private boolean isBusy;

	private boolean isClosing;

	private boolean isDone;

	private @Nullable CallPayload payload;

	Agent(SimCluster cluster, UniformRandomProvider random, String label, @Nullable ProgramId parent) {
		this.cluster = cluster;
		this.random = random;
		this.label = label;
		this.parent = parent;
		this.workspace = (parent != null || random.nextInt(3) > 0) ? SimConfiguration.LARGE : SimConfiguration.SMALL;
		this.turns = 1 + random.nextInt(8);
	}

	boolean isDone() {
		return this.isDone;
	}

	@Nullable ProgramId openProgram() {
		return (this.isClosing || this.isDone || !this.workspace.equals(SimConfiguration.LARGE)) ? null : this.program;
	}

	String describe() {
		return this.label + " program " + this.program + " turn " + this.turn + (this.isClosing ? " closing" : "");
	}

	/**
	 * Makes the next call unless one is under way.
	 */
	void act() {
		if (this.isBusy || this.isDone) {
			return;
		}
		this.isBusy = true;
		if (this.program == null) {
			open();
		}
		else if (this.isClosing || this.turn > this.turns) {
			close(this.program);
		}
		else {
			call(this.program);
		}
	}

	/**
	 * Makes the agent close its program at the next opportunity.
	 */
	void finish() {
		this.isClosing = true;
		if (this.program == null && !this.isBusy) {
			this.isDone = true;
		}
	}

	private void open() {
		SimInstance entry = this.cluster.anyRunning(this.random);
		long[] answered = new long[1];
		entry.host().run(() -> entry.routing().open(this.workspace, this.parent).whenComplete((id, error) -> {
			if (answered[0]++ == 0) {
				this.isBusy = false;
				this.program = id;
				this.isDone = id == null && this.isClosing;
				if (id == null && this.parent != null) {
					this.isDone = true;
				}
			}
		}));
		// An agent whose entry instance died before the answer opens another program.
		this.cluster.timer().schedule(TIMEOUT_MS, () -> {
			if (answered[0]++ == 0) {
				this.isBusy = false;
				this.isDone = this.isClosing;
			}
		});
	}

	private void close(ProgramId id) {
		this.isClosing = true;
		SimInstance entry = this.cluster.anyRunning(this.random);
		long[] answered = new long[1];
		entry.host().run(() -> entry.routing().close(this.workspace, id).whenComplete((done, error) -> {
			if (answered[0]++ == 0) {
				this.isBusy = false;
				boolean isGone = error != null && String.valueOf(error.getMessage()).contains("no program");
				if (error == null || isGone) {
					this.isDone = true;
					this.cluster.observer().ended(id);
				}
			}
		}));
		this.cluster.timer().schedule(TIMEOUT_MS, () -> {
			if (answered[0]++ == 0) {
				this.isBusy = false;
			}
		});
	}

	private void call(ProgramId id) {
		String name = id + ":" + this.turn;
		CallPayload current = this.payload;
		if (current == null) {
			current = choose(name);
			this.payload = current;
		}
		int number = this.turn;
		CallPayload chosen = current;
		Attempt attempt = attempt(id, number, name, chosen,
				(result, refusal) -> ended(id, number, name, chosen, result, refusal));
		attempt.start();
		int whim = this.random.nextInt(12);
		if (whim == 0) {
			attempt(id, number, name, chosen, (result, refusal) -> {
			}).start();
		}
		else if (whim == 1) {
			this.cluster.timer().schedule(this.random.nextInt(150), attempt::disconnect);
		}
	}

	private CallPayload choose(String name) {
		int kind = this.random.nextInt(10);
		if (kind < 6) {
			return new ModelCall(SimConfiguration.MODEL, "[{\"role\":\"user\",\"content\":\"" + name + "\"}]", 20, 30);
		}
		String operation = (kind == 6) ? SimConfiguration.LOOK_UP
				: (kind < 9) ? SimConfiguration.BOOK : SimConfiguration.SHIP;
		return new ServiceCall(SimConfiguration.SERVICE, operation, SimServices.body(name), null);
	}

	private Attempt attempt(ProgramId id, int number, String name, CallPayload chosen, AttemptListener listener) {
		SimInstance entry = this.cluster.anyRunning(this.random);
		DecisionId decision = new DecisionId(this.label + "-" + this.attempts++);
		CallRequest request = new CallRequest(decision, this.workspace, KEY, id, number, "", chosen, TIMEOUT_MS);
		return new Attempt(this.cluster, entry, name, request, listener);
	}

	private void ended(ProgramId id, int number, String name, CallPayload chosen, @Nullable CallResult result,
			@Nullable Refusal refusal) {
		if (result != null) {
			if (chosen instanceof ModelCall) {
				this.cluster.observer().deliveredOfModel(id.toString(), number, result.body());
			}
			next();
			return;
		}
		boolean isUnknown = refusal != null && refusal.reason() == RefusalReason.OUTCOME_UNKNOWN
				&& refusal.run() == RunState.UNKNOWN;
		if (isUnknown) {
			this.cluster.observer().settledUnknown(name);
			next();
			return;
		}
		boolean isFinal = refusal != null && (refusal.reason() == RefusalReason.BUDGET_EXHAUSTED
				|| refusal.reason() == RefusalReason.PROGRAM_CLOSED || refusal.reason() == RefusalReason.NOT_FOUND);
		if (isFinal) {
			this.isClosing = true;
		}
		this.cluster.timer().schedule(RETRY_MS, () -> this.isBusy = false);
	}

	private void next() {
		this.turn++;
		this.payload = null;
		this.cluster.timer().schedule(this.random.nextInt(400), () -> this.isBusy = false);
	}

}
