package dev.nutmegdoor.node.operator;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

/**
 * Collects the state of all controllers of this instance. Suppliers run on the control
 * thread and return immutable values without secrets.
 */
public final class StateDump {

	private final Map<String, Supplier<?>> parts = new LinkedHashMap<>();

	/**
	 * Adds a part.
	 * @param name name of the part, such as {@code limits}
	 * @param supplier returns the state of the part
	 */
	public void register(String name, Supplier<?> supplier) {
		if (this.parts.putIfAbsent(name, supplier) != null) {
			throw new IllegalArgumentException("a part named " + name + " is registered already");
		}
	}

	public Set<String> names() {
		return Set.copyOf(this.parts.keySet());
	}

	/**
	 * Returns the state of one part or of all parts.
	 * @param part name of the part, or {@code null} for all
	 * @return state by name of the part
	 * @throws OperatorException if there is no such part
	 */
	public Map<String, Object> dump(@Nullable String part) {
		if (part != null && !this.parts.containsKey(part)) {
			throw new OperatorException(404, "not-found",
					"there is no part '" + part + "'; parts are " + String.join(", ", this.parts.keySet()));
		}
		Map<String, Object> result = new LinkedHashMap<>();
		this.parts.forEach((name, supplier) -> {
			if (part == null || part.equals(name)) {
				result.put(name, supplier.get());
			}
		});
		return result;
	}

}
