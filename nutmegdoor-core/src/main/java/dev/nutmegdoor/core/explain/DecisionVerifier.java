package dev.nutmegdoor.core.explain;

import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Verifies recorded decisions: replays the decision function on the recorded inputs and
 * compares its outcome with the recorded outcome.
 */
public final class DecisionVerifier {

	private final ObjectMapper mapper = new ObjectMapper();

	private final Map<DecisionKind, DecisionReplay<?>> replays;

	public DecisionVerifier(Map<DecisionKind, DecisionReplay<?>> replays) {
		this.replays = Map.copyOf(replays);
	}

	/**
	 * Verifies one record.
	 * @param record JSON form of a {@link DecisionRecord}
	 * @return whether the outcomes are equal; damaged records differ
	 */
	public Verification verify(JsonNode record) {
		DecisionKind kind;
		try {
			kind = DecisionKind.valueOf(record.path("kind").asText());
		}
		catch (IllegalArgumentException ex) {
			return new Verification(VerificationStatus.DIFFERS, "unknown kind of decision");
		}
		DecisionReplay<?> replay = this.replays.get(kind);
		if (replay == null) {
			return new Verification(VerificationStatus.NOT_REPLAYABLE, kind + " decisions have no decision function");
		}
		try {
			JsonNode outcome = replay.decide(this.mapper, record.path("inputs"));
			JsonNode recordedOutcome = record.path("outcome");
			return outcome.equals(recordedOutcome) ? new Verification(VerificationStatus.AGREES, "")
					: new Verification(VerificationStatus.DIFFERS, "replayed outcome is " + outcome);
		}
		catch (JsonProcessingException | IllegalArgumentException ex) {
			return new Verification(VerificationStatus.DIFFERS, "inputs can't be read: " + ex.getMessage());
		}
	}

}
