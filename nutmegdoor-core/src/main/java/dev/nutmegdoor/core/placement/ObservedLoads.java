package dev.nutmegdoor.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import dev.nutmegdoor.core.id.UpstreamId;

/**
 * Collects the latest load of each replica until it is passed on. Not thread-safe.
 */
public final class ObservedLoads {

	private final Map<UpstreamId, Measurement> measurements = new LinkedHashMap<>();

	private final Map<UpstreamId, DurationSample> speedSamples = new HashMap<>();

	/**
	 * Adds loads. A load that was measured before the one that is known is ignored.
	 * @param loads loads of any replicas
	 * @param nowMs current time in milliseconds
	 */
	public void add(List<ObservedLoad> loads, long nowMs) {
		for (ObservedLoad load : loads) {
			Measurement measurement = new Measurement(load, nowMs - load.ageMs());
			this.measurements.merge(load.replica(), measurement,
					(known, added) -> (added.measuredAtMs > known.measuredAtMs) ? added : known);
			DurationSample sample = load.speedSample();
			if (sample != null) {
				addSpeed(load.replica(), sample);
			}
		}
	}

	// Adds what the answers of a replica say about its speed. Unlike loads, samples add
	// up; they are passed on with the next load of the replica.
	void addSpeed(UpstreamId replica, DurationSample sample) {
		this.speedSamples.merge(replica, sample, DurationSample::plus);
	}

	public boolean isEmpty() {
		return this.measurements.isEmpty();
	}

	/**
	 * Removes and returns all loads.
	 * @param nowMs current time in milliseconds
	 * @return the latest load of each replica
	 */
	public List<ObservedLoad> drain(long nowMs) {
		List<ObservedLoad> loads = new ArrayList<>();
		this.measurements.forEach((replica, measurement) -> {
			DurationSample sample = this.speedSamples.remove(replica);
			loads.add(new ObservedLoad(replica, measurement.load.calls(), nowMs - measurement.measuredAtMs,
					measurement.load.requestsPerSecond(), measurement.load.workPercent(),
					(sample != null) ? sample.logFactor() : null, (sample != null) ? sample.weight() : null));
		});
		this.measurements.clear();
		return loads;
	}

	private record Measurement(ObservedLoad load, long measuredAtMs) {

	}

}
