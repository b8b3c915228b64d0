package dev.nutmegdoor.core.call;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.DecisionId;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Forwards a call from its entry instance to its home. If it is resent with the same
 * identifier, the call does not run again; the home resumes the stream at the offset.
 *
 * @param callId identifier of the call, unique across instances
 * @param decision identifier under which the decisions on the call can be explained
 * @param workspace workspace of the caller's key
 * @param key identifier of the caller's key
 * @param program program of the call, or {@code null} if it belongs to none
 * @param turn number of the call within its program, from 1; 0 without a program
 * @param workKind kind of work, empty if the caller named none
 * @param modelCall request to a model engine, or {@code null} for a service call
 * @param serviceCall request to a service, or {@code null} for a model call
 * @param timeoutMs time remaining for the call in milliseconds
 * @param offset number of characters that the entry instance has received
 */
public record CallForward(String callId, DecisionId decision, WorkspaceId workspace, KeyId key,
		@Nullable ProgramId program, int turn, String workKind, @Nullable ModelCall modelCall,
		@Nullable ServiceCall serviceCall, long timeoutMs, int offset) implements PeerMessage {

	static CallForward of(String callId, CallRequest request, long timeoutMs, int offset) {
		CallPayload payload = request.payload();
		return new CallForward(callId, request.decision(), request.workspace(), request.key(), request.program(),
				request.turn(), request.workKind(), (payload instanceof ModelCall call) ? call : null,
				(payload instanceof ServiceCall call) ? call : null, timeoutMs, offset);
	}

	CallRequest request() {
		CallPayload payload = (this.modelCall != null) ? this.modelCall : this.serviceCall;
		if (payload == null) {
			throw new IllegalArgumentException("call " + this.callId + " has neither a model call nor a service call");
		}
		return new CallRequest(this.decision, this.workspace, this.key, this.program, this.turn, this.workKind, payload,
				this.timeoutMs);
	}

}
