package dev.nutmegdoor.core.lease;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Content of the store object {@code lease/<instance>}.
 *
 * @param holder instance that holds the lease
 * @param epoch epoch of the lease; increases each time the lease is fenced
 * @param state state of the lease
 * @param witnesses instances whose acknowledgements extend the lease
 * @param sequence number that increases with each write of the holder, so that every
 * renewal changes the record
 * @param changeId unique identifier of the write, by which a writer recognises its own
 * write if the response of the store was lost
 * @param holdingsVersion version of the holdings
 * @param holdings entries that the holder owned at that version
 * @param heir successor, which takes over the holdings; {@code null} until the lease is
 * fenced
 * @param isComplete {@code true} if enough witnesses replied to establish the latest
 * holdings; otherwise the holdings may be outdated and must not be used
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record LeaseRecord(InstanceId holder, long epoch, LeaseRecordState state, List<InstanceId> witnesses,
		long sequence, String changeId, long holdingsVersion, Map<String, Long> holdings, @Nullable InstanceId heir,
		boolean isComplete) {

	public LeaseRecord {
		witnesses = List.copyOf(witnesses);
		holdings = Map.copyOf(holdings);
	}

}
