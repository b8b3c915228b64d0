package dev.nutmegdoor.experiment.load;

import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.ProgramId;

/**
 * A request as a caller sends it.
 *
 * @param method HTTP method
 * @param path path
 * @param headers header fields
 * @param body JSON body
 * @param isStream whether the answer is a stream of events
 */
record CallerRequest(String method, String path, Map<String, String> headers, String body, boolean isStream) {

	static CallerRequest of(String method, String path, String key, String body) {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Authorization", "Bearer " + key);
		return new CallerRequest(method, path, headers, body, false);
	}

	CallerRequest with(String name, String value) {
		Map<String, String> extended = new LinkedHashMap<>(this.headers);
		extended.put(name, value);
		return new CallerRequest(this.method, this.path, extended, this.body, this.isStream);
	}

	CallerRequest inProgram(@Nullable ProgramId program, int turn) {
		return (program != null)
				? with("Nutmegdoor-Program", program.toString()).with("Nutmegdoor-Turn", Integer.toString(turn)) : this;
	}

	CallerRequest streamed() {
		return new CallerRequest(this.method, this.path, this.headers, this.body, true);
	}

}
