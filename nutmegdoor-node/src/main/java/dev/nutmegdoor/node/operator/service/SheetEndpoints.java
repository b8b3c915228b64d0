package dev.nutmegdoor.node.operator.service;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.ConfigurationEdit;
import dev.nutmegdoor.node.operator.OperatorEndpoint;
import dev.nutmegdoor.node.operator.OperatorException;
import dev.nutmegdoor.node.operator.OperatorRequest;
import dev.nutmegdoor.node.sheet.SheetError;
import dev.nutmegdoor.node.sheet.SheetLoader;
import dev.nutmegdoor.node.sheet.SheetOutcome;
import dev.nutmegdoor.node.sheet.SheetPlan;
import dev.nutmegdoor.node.sheet.SheetResult;

/**
 * Operations on sheets: check, diff and load.
 */
public final class SheetEndpoints {

	/** Workspaces and changes that an answer lists of each kind. */
	private static final int MAX_LISTED = 1_000;

	private final SheetLoader loader;

	private final Executor background;

	/**
	 * Creates the operations.
	 * @param loader loads sheets
	 * @param background runs the parsing, which takes too long for the control thread
	 */
	public SheetEndpoints(SheetLoader loader, Executor background) {
		this.loader = loader;
		this.background = background;
	}

	/**
	 * Returns the operations.
	 * @return endpoints of the operator API
	 */
	public List<OperatorEndpoint> endpoints() {
		return List.of(OperatorEndpoint.post("/operator/v1/sheet", this::load));
	}

	private CompletableFuture<SheetView> load(OperatorRequest request) {
		String mode = request.query("mode");
		if (mode == null || !List.of("check", "diff", "load").contains(mode)) {
			throw new OperatorException(400, "malformed-request",
					"mode: expected check, diff or load but found '" + mode + "'");
		}
		boolean isDryRun = !mode.equals("load");
		return CompletableFuture
			.supplyAsync(() -> this.loader.load(request.body(), request.operator(), request.hasFlag("force"), isDryRun),
					this.background)
			.thenCompose((result) -> result)
			.thenApply((result) -> view(result, mode.equals("diff")));
	}

	private static SheetView view(SheetResult result, boolean isDiff) {
		SheetPlan plan = result.plan();
		boolean isFailed = result.outcome() == SheetOutcome.INVALID || result.outcome() == SheetOutcome.NOT_ACCEPTED
				|| (result.outcome() == SheetOutcome.NEEDS_FORCE && !isDiff);
		List<String> errors = result.errors().stream().map(SheetError::toString).toList();
		ChangeAnswer change = (result.change() != null) ? ChangeAnswer.of(result.change()) : null;
		if (plan == null) {
			return new SheetView(result.outcome(), isFailed, errors, List.of(), List.of(), List.of(), List.of(),
					List.of(), change);
		}
		List<ConfigurationEdit> edits = isDiff ? first(plan.edits()) : List.of();
		return new SheetView(result.outcome(), isFailed, errors, plan.concerns(), first(plan.added()),
				first(plan.changed()), first(plan.dropped()), edits, change);
	}

	private static <T> List<T> first(List<T> all) {
		return all.subList(0, Math.min(MAX_LISTED, all.size()));
	}

	/**
	 * Answer to an operation on a sheet.
	 *
	 * @param outcome the outcome
	 * @param isFailed whether the sheet is wrong or was not loaded
	 * @param errors wrong cells
	 * @param concerns why the load needs to be forced
	 * @param added first of the workspaces that the sheet adds
	 * @param changed first of the workspaces that the sheet changes
	 * @param dropped first of the workspaces that the sheet lacks
	 * @param edits first of the changes of items, for a diff
	 * @param change outcome of the change, or {@code null} if none was attempted
	 */
	public record SheetView(SheetOutcome outcome, boolean isFailed, List<String> errors, List<String> concerns,
			List<String> added, List<String> changed, List<String> dropped, List<ConfigurationEdit> edits,
			@Nullable ChangeAnswer change) {

		public SheetView {
			errors = List.copyOf(errors);
			concerns = List.copyOf(concerns);
			added = List.copyOf(added);
			changed = List.copyOf(changed);
			dropped = List.copyOf(dropped);
			edits = List.copyOf(edits);
		}

	}

}
