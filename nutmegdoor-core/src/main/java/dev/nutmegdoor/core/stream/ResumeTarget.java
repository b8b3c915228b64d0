package dev.nutmegdoor.core.stream;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * The replicas at which a stream that a client takes up may go on.
 *
 * @param origins where the stream can have begun: one for each service that may have
 * begun it, or none if that is not known and the stream must not go on anywhere
 */
public record ResumeTarget(List<StreamOrigin> origins) {

	static final ResumeTarget UNKNOWN = new ResumeTarget(List.of());

	public ResumeTarget {
		origins = List.copyOf(origins);
	}

	/**
	 * Selects the replicas of one service.
	 * @param preferredService service to select if the stream can have begun there
	 * @return service and version, or {@code null} if they are not known
	 */
	public @Nullable StreamOrigin select(String preferredService) {
		for (StreamOrigin origin : this.origins) {
			if (origin.service().equals(preferredService)) {
				return origin;
			}
		}
		return this.origins.isEmpty() ? null : this.origins.get(0);
	}

}
