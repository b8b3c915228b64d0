package dev.nutmegdoor.experiment.load;

import java.util.List;

import dev.nutmegdoor.core.call.Repeatability;
import dev.nutmegdoor.core.configuration.WorkKind;

/**
 * The two deployments at their current size (design, section 1.4) with their mix of work.
 */
public enum DemoDeployment {

	/** Pipe insulation order desk. */
	RIFT("quote-drafter", 15, 1) {

		@Override
		public List<WorkKind> workKinds() {
			return List.of(new WorkKind("quote", 0), new WorkKind("follow-up", 1), new WorkKind("booking", 2),
					new WorkKind("dispatch-note", 2), new WorkKind("stock-look-up", 5));
		}

		@Override
		public List<OperationShape> operations() {
			return List.of(BOOKING, DISPATCH_NOTE, STOCK_LOOK_UP);
		}

		@Override
		public OperationShape deferrable() {
			return STOCK_LOOK_UP;
		}

		@Override
		public List<ProgramShape> programs() {
			return List.of(
					new ProgramShape("quote", 6, 3, 1_600, 48, 150, STOCK_LOOK_UP, true,
							List.of(BOOKING, DISPATCH_NOTE)),
					new ProgramShape("follow-up", 4, 2, 800, 32, 100, null, false, List.of()));
		}

	},

	/** Voice packs for screen readers. */
	SAUTIWAZI("pronunciation-tuner", 25, 3) {

		@Override
		public List<WorkKind> workKinds() {
			return List.of(new WorkKind("tuning", 0), new WorkKind("pack-assembly", 0),
					new WorkKind("licence-charge", 2), new WorkKind("publication", 2), new WorkKind("status-page", 5));
		}

		@Override
		public List<OperationShape> operations() {
			return List.of(LICENCE_CHARGE, PUBLICATION, ASSEMBLY, STATUS_PAGE);
		}

		@Override
		public OperationShape deferrable() {
			return STATUS_PAGE;
		}

		@Override
		public List<ProgramShape> programs() {
			return List.of(new ProgramShape("tuning", 6, 5, 400, 16, 120, null, false, List.of()), new ProgramShape(
					"pack-assembly", 4, 4, 2_400, 48, 150, ASSEMBLY, true, List.of(LICENCE_CHARGE, PUBLICATION)));
		}

	};

	private static final OperationShape BOOKING = new OperationShape("orders", "book", "booking",
			Repeatability.AT_MOST_ONCE);

	private static final OperationShape DISPATCH_NOTE = new OperationShape("dispatch", "note", "dispatch-note",
			Repeatability.AT_MOST_ONCE);

	private static final OperationShape STOCK_LOOK_UP = new OperationShape("stock", "look-up", "stock-look-up",
			Repeatability.REPEATABLE);

	private static final OperationShape LICENCE_CHARGE = new OperationShape("billing", "charge", "licence-charge",
			Repeatability.AT_MOST_ONCE);

	private static final OperationShape PUBLICATION = new OperationShape("packs", "publish", "publication",
			Repeatability.AT_MOST_ONCE);

	private static final OperationShape ASSEMBLY = new OperationShape("packs", "assemble", "pack-assembly",
			Repeatability.REPEATABLE);

	private static final OperationShape STATUS_PAGE = new OperationShape("status", "page", "status-page",
			Repeatability.REPEATABLE);

	private final String model;

	private final int serviceReplicas;

	private final int clientDelayMs;

	DemoDeployment(String model, int serviceReplicas, int clientDelayMs) {
		this.model = model;
		this.serviceReplicas = serviceReplicas;
		this.clientDelayMs = clientDelayMs;
	}

	public abstract List<WorkKind> workKinds();

	public abstract List<OperationShape> operations();

	/**
	 * Returns the operation that single requests without a program use.
	 * @return the deferrable operation
	 */
	public abstract OperationShape deferrable();

	public abstract List<ProgramShape> programs();

	public String model() {
		return this.model;
	}

	public int serviceReplicas() {
		return this.serviceReplicas;
	}

	/**
	 * Returns the delay between callers and instances.
	 * @return one way, in milliseconds
	 */
	public int clientDelayMs() {
		return this.clientDelayMs;
	}

}
