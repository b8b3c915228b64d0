package dev.nutmegdoor.core.lease;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Content of the store object {@code lease/<instance>}.
 *
 * @param holder holder of the lease
 * @param epoch epoch of the lease
 * @param state state
 * @param witnesses instances whose acknowledgements extend the lease
 * @param sequence rises with each write of the holder, so that each renewal is visible
 * @param changeId names the write, so that a writer whose answer was lost recognises it
 * @param holdingsVersion version of the holdings
 * @param holdings what the holder owned at that version
 * @param heir instance that takes the holdings over, or {@code null} before fencing
 * @param isComplete whether enough witnesses were asked for the newest holdings; if not,
 * the holdings may be outdated and must not be used
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
