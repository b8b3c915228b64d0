package dev.nutmegdoor.node.operator;

import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * A request of an authenticated operator.
 *
 * @param operator name of the operator
 * @param pathParameters values of the variable parts of the path
 * @param queryParameters values of the query, by name
 * @param body body as text, empty if there is none
 */
public record OperatorRequest(String operator, Map<String, String> pathParameters,
		Map<String, List<String>> queryParameters, String body) {

	/**
	 * Returns a variable part of the path.
	 * @param name name of the part
	 * @return its value
	 * @throws IllegalArgumentException if the path has no such part
	 */
	public String path(String name) {
		String value = this.pathParameters.get(name);
		if (value == null) {
			throw new IllegalArgumentException("the path has no part named " + name);
		}
		return value;
	}

	/**
	 * Returns the first value of a query parameter.
	 * @param name name of the parameter
	 * @return its value, or {@code null} if it is missing
	 */
	public @Nullable String query(String name) {
		List<String> values = this.queryParameters.get(name);
		return (values != null && !values.isEmpty()) ? values.get(0) : null;
	}

	/**
	 * Returns whether a query parameter is set.
	 * @param name name of the parameter
	 * @return {@code true} unless the parameter is missing or {@code false}
	 */
	public boolean hasFlag(String name) {
		String value = query(name);
		return value != null && !value.equals("false");
	}

}
