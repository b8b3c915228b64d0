package dev.nutmegdoor.core.schedule;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.RelayedCall;
import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.configuration.WorkKind;
import dev.nutmegdoor.core.configuration.Workspace;
import dev.nutmegdoor.core.id.ProgramId;

/**
 * Computes the queue order of a call from its workspace, kind of work and program.
 */
final class CallClassifier {

	/** Priority of calls whose kind of work is missing or not configured. */
	private static final int DEFAULT_PRIORITY = 5;

	private final ScheduleSettings settings;

	private final ConfigurationView configuration;

	private final ProgramSchedulingInfoSource programs;

	private final ProgramAccounts accounts;

	CallClassifier(ScheduleSettings settings, ConfigurationView configuration, ProgramSchedulingInfoSource programs,
			ProgramAccounts accounts) {
		this.settings = settings;
		this.configuration = configuration;
		this.programs = programs;
		this.accounts = accounts;
	}

	CallOrder classify(CallRequest request, long nowMs) {
		Configuration current = this.configuration.current();
		Workspace workspace = current.workspaces().get(request.workspace());
		if (request.payload() instanceof RelayedCall relayed) {
			return classify(request, relayed, (workspace != null) ? workspace.weight() : 1, nowMs);
		}
		int priority = priorityOf(current, workspace, request.workKind());
		ProgramId program = request.program();
		String account = (program != null) ? program.toString() : request.decision().value();
		double elapsedMs = 0;
		if (program != null) {
			ProgramSchedulingInfo info = this.programs.schedulingInfoOf(program);
			if (info != null) {
				account = info.root().toString();
				elapsedMs = nowMs - info.openedAtMs();
			}
		}
		double orderMs = nowMs + priority * this.settings.priorityStepMs()
				+ this.accounts.receivedServiceMs(account) * this.settings.receivedWeight()
				- elapsedMs * this.settings.elapsedWeight();
		return new CallOrder(priority, (workspace != null) ? workspace.weight() : 1, account, orderMs);
	}

	// The program with the least time left until its finish time goes first. A request
	// without a program is due at its own deadline.
	private CallOrder classify(CallRequest request, RelayedCall relayed, int weight, long nowMs) {
		String account = (relayed.account() != null) ? relayed.account() : request.decision().value();
		long dueInMs = (relayed.finishMs() != null) ? Math.max(relayed.finishMs(), 0) : request.timeoutMs();
		double orderMs = nowMs + dueInMs + (double) relayed.priority() * this.settings.priorityStepMs();
		return new CallOrder(relayed.priority(), weight, account, orderMs);
	}

	private static int priorityOf(Configuration current, @Nullable Workspace workspace, String workKind) {
		if (workspace != null) {
			Integer override = workspace.workPriorities().get(workKind);
			if (override != null) {
				return override;
			}
		}
		WorkKind kind = current.workKinds().get(workKind);
		return (kind != null) ? kind.priority() : DEFAULT_PRIORITY;
	}

}
