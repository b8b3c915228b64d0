package dev.nutmegdoor.core.explain;

import java.util.function.Function;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Replays a pure decision function on recorded inputs.
 *
 * @param <I> type of the inputs
 */
public final class DecisionReplay<I> {

	private final Class<I> inputType;

	private final Function<I, ?> function;

	/**
	 * Creates a replay.
	 * @param inputType type of the inputs, which Jackson must be able to deserialize
	 * @param function the decision function that the instance uses
	 */
	public DecisionReplay(Class<I> inputType, Function<I, ?> function) {
		this.inputType = inputType;
		this.function = function;
	}

	JsonNode decide(ObjectMapper mapper, JsonNode inputs) throws JsonProcessingException {
		Object outcome = this.function.apply(mapper.treeToValue(inputs, this.inputType));
		return mapper.readTree(mapper.writeValueAsString(outcome));
	}

}
