package dev.nutmegdoor.node.operator.service;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.key.KeyController;
import dev.nutmegdoor.core.key.KeyStatus;
import dev.nutmegdoor.core.key.KeyWithdrawal;
import dev.nutmegdoor.core.key.WithdrawalResult;
import dev.nutmegdoor.node.operator.OperatorEndpoint;
import dev.nutmegdoor.node.operator.OperatorException;
import dev.nutmegdoor.node.operator.OperatorRequest;

/**
 * Operations on keys.
 */
public final class KeyEndpoints {

	private final KeyController keys;

	public KeyEndpoints(KeyController keys) {
		this.keys = keys;
	}

	/**
	 * Returns the operations.
	 * @return endpoints of the operator API
	 */
	public List<OperatorEndpoint> endpoints() {
		return List.of(OperatorEndpoint.get("/operator/v1/keys", this::list),
				OperatorEndpoint.post("/operator/v1/keys", this::issue),
				OperatorEndpoint.post("/operator/v1/keys/{id}/withdraw", this::withdraw));
	}

	private CompletableFuture<List<KeyView>> list(OperatorRequest request) {
		String workspace = request.query("workspace");
		List<KeyStatus> found = this.keys.list((workspace != null) ? new WorkspaceId(workspace) : null);
		return CompletableFuture.completedFuture(found.stream().map(KeyView::of).toList());
	}

	private CompletableFuture<IssueView> issue(OperatorRequest request) {
		String workspace = request.query("workspace");
		if (workspace == null) {
			throw new OperatorException(400, "malformed-request", "the query parameter workspace is missing");
		}
		return this.keys.issue(new WorkspaceId(workspace), request.operator())
			.thenApply((issued) -> new IssueView(issued.id(), issued.key(), issued.key() == null,
					ChangeAnswer.of(issued.change())));
	}

	private CompletableFuture<WithdrawalView> withdraw(OperatorRequest request) {
		String reason = request.query("reason");
		return this.keys
			.withdraw(new KeyId(request.path("id")), request.operator(), (reason != null) ? reason : "operator request")
			.thenApply((result) -> new WithdrawalView(result, !result.isKnown() || !result.isDurable()));
	}

	/**
	 * A key in a list.
	 *
	 * @param id identifier
	 * @param workspace workspace, or {@code null} if the configuration doesn't list it
	 * @param withdrawn when, by whom and why the key was withdrawn, or {@code null}
	 */
	public record KeyView(KeyId id, @Nullable WorkspaceId workspace, @Nullable KeyWithdrawal withdrawn) {

		static KeyView of(KeyStatus status) {
			return new KeyView(status.id(), status.workspace(), status.withdrawal());
		}

	}

	/**
	 * An issued key.
	 *
	 * @param id identifier
	 * @param key the whole key, shown only this once
	 * @param isFailed whether no key was issued
	 * @param change outcome of the change of the configuration
	 */
	public record IssueView(KeyId id, @Nullable String key, boolean isFailed, ChangeAnswer change) {

		/**
		 * Leaves out the key, so that it can't reach a log.
		 */
		@Override
		public String toString() {
			return "IssueView[id=" + this.id + ", isFailed=" + this.isFailed + "]";
		}

	}

	/**
	 * A withdrawal.
	 *
	 * @param result who has confirmed
	 * @param isFailed whether the key is unknown or the withdrawal could be lost by one
	 * crash
	 */
	public record WithdrawalView(WithdrawalResult result, boolean isFailed) {

	}

}
