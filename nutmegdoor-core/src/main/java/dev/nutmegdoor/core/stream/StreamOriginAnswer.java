package dev.nutmegdoor.core.stream;

import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Answer to a {@link StreamOriginQuery}.
 *
 * @param remembered where the stream began, or {@code null} if this instance was not told
 * @param isAmbiguous whether several versions have served while the stream can have begun
 * @param onlyVersions the version of each service that has served alone for as long;
 * empty if that is not so for all of them, or not known
 */
public record StreamOriginAnswer(@Nullable StreamOrigin remembered, boolean isAmbiguous,
		List<StreamOrigin> onlyVersions) implements PeerMessage {

	public StreamOriginAnswer {
		onlyVersions = List.copyOf(onlyVersions);
	}

}
