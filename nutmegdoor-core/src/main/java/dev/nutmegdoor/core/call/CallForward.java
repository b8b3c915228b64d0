package dev.nutmegdoor.core.call;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.DecisionId;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * A call from its entry instance to its home. Sent again with the same identifier it
 * resumes the call from an offset.
 *
 * @param callId identifier of the call, unique across instances
 * @param decision decision under which it can be explained
 * @param workspace workspace
 * @param key identifier of the caller's key
 * @param program program, or {@code null}
 * @param turn turn, 0 without a program
 * @param workKind kind of work
 * @param modelCall what is asked of an engine, or {@code null}
 * @param serviceCall what is asked of a service, or {@code null}
 * @param timeoutMs time left in milliseconds
 * @param offset characters that the entry instance has received
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
			throw new IllegalArgumentException("call " + this.callId + " asks for nothing");
		}
		return new CallRequest(this.decision, this.workspace, this.key, this.program, this.turn, this.workKind, payload,
				this.timeoutMs);
	}

}
