package dev.nutmegdoor.node.sheet;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.ConfigurationChange;
import dev.nutmegdoor.core.configuration.ConfigurationChangeOutcome;
import dev.nutmegdoor.core.configuration.ConfigurationController;

/**
 * Loads sheets, each as one change of the configuration that is applied whole or not at
 * all.
 */
public final class SheetLoader {

	/** Share of the workspaces that a sheet may drop without being forced. */
	public static final double DEFAULT_MAX_DROPPED_SHARE = 0.05;

	private final ConfigurationController configuration;

	private final Executor control;

	private final double maxDroppedShare;

	/**
	 * Creates a loader.
	 * @param configuration the configuration
	 * @param control runs tasks on the control thread
	 * @param maxDroppedShare share of the workspaces that a sheet may drop unforced, 0 to
	 * 1
	 */
	public SheetLoader(ConfigurationController configuration, Executor control, double maxDroppedShare) {
		if (!(maxDroppedShare >= 0 && maxDroppedShare <= 1)) {
			throw new IllegalArgumentException("maxDroppedShare must be from 0 to 1 but is " + maxDroppedShare);
		}
		this.configuration = configuration;
		this.control = control;
		this.maxDroppedShare = maxDroppedShare;
	}

	/**
	 * Loads a sheet. Parsing and comparing run on the calling thread, which should not be
	 * the control thread.
	 * @param csv content of the sheet
	 * @param author who loads it
	 * @param isForced whether to load it although it is old or drops many workspaces
	 * @param isDryRun whether to check it only
	 * @return the outcome; completes on the control thread if a change is attempted
	 */
	public CompletableFuture<SheetResult> load(String csv, String author, boolean isForced, boolean isDryRun) {
		Sheet sheet = SheetReader.read(csv);
		if (!sheet.errors().isEmpty()) {
			return finished(SheetOutcome.INVALID, sheet.errors(), null);
		}
		Configuration inForce = this.configuration.current();
		SheetPlan plan = SheetPlanner.plan(sheet, inForce, this.configuration.sheetDate(), this.maxDroppedShare);
		if (!plan.errors().isEmpty()) {
			return finished(SheetOutcome.INVALID, plan.errors(), plan);
		}
		if (plan.edits().isEmpty()) {
			return finished(SheetOutcome.UNCHANGED, List.of(), plan);
		}
		if (!plan.concerns().isEmpty() && !isForced) {
			return finished(SheetOutcome.NEEDS_FORCE, List.of(), plan);
		}
		if (isDryRun) {
			return finished(SheetOutcome.CHECKED, List.of(), plan);
		}
		ConfigurationChange change = new ConfigurationChange(author, "sheet of " + sheet.date(), inForce.version(),
				plan.edits());
		return CompletableFuture.supplyAsync(() -> this.configuration.change(change), this.control)
			.thenCompose((result) -> result)
			.thenApply((result) -> {
				boolean isApplied = result.outcome() == ConfigurationChangeOutcome.ACCEPTED;
				return new SheetResult(isApplied ? SheetOutcome.APPLIED : SheetOutcome.NOT_ACCEPTED, List.of(), plan,
						result);
			});
	}

	private static CompletableFuture<SheetResult> finished(SheetOutcome outcome, List<SheetError> errors,
			@Nullable SheetPlan plan) {
		return CompletableFuture.completedFuture(new SheetResult(outcome, errors, plan, null));
	}

}
