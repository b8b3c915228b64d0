package dev.nutmegdoor.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Acknowledgements of the holder's witnesses. While it is unknown which set of witnesses
 * the store record names, a quorum of each possible set is needed.
 */
final class WitnessAcknowledgements {

	private final Map<InstanceId, Acknowledgement> latest = new HashMap<>();

	private List<List<InstanceId>> possibleWitnessSets = new ArrayList<>();

	/**
	 * Notes that a write with these witnesses may take effect.
	 * @param witnesses the witnesses
	 */
	void propose(List<InstanceId> witnesses) {
		if (!this.possibleWitnessSets.contains(witnesses)) {
			this.possibleWitnessSets.add(witnesses);
		}
	}

	/**
	 * Notes that the record names these witnesses and no earlier write can take effect
	 * any more.
	 * @param witnesses the witnesses
	 */
	void confirm(List<InstanceId> witnesses) {
		this.possibleWitnessSets = new ArrayList<>(List.of(witnesses));
		this.latest.keySet().retainAll(witnesses());
	}

	void acknowledged(InstanceId witness, long sentMs, long version) {
		Acknowledgement previous = this.latest.getOrDefault(witness, Acknowledgement.NONE);
		this.latest.put(witness,
				new Acknowledgement(Math.max(previous.sentMs, sentMs), Math.max(previous.version, version)));
	}

	void rejected(InstanceId witness) {
		this.latest.remove(witness);
	}

	long versionOf(InstanceId witness) {
		return this.latest.getOrDefault(witness, Acknowledgement.NONE).version;
	}

	long sentMsOf(InstanceId witness) {
		// Half of the range keeps differences from overflowing.
		return Math.max(Long.MIN_VALUE / 2, this.latest.getOrDefault(witness, Acknowledgement.NONE).sentMs);
	}

	Set<InstanceId> witnesses() {
		Set<InstanceId> witnesses = new LinkedHashSet<>();
		this.possibleWitnessSets.forEach(witnesses::addAll);
		return witnesses;
	}

	/**
	 * Returns the time of sending of the newest message that a quorum acknowledged.
	 * @return the time, or {@link Long#MIN_VALUE} if there is no quorum
	 */
	long quorumSentMs() {
		return quorumValue(true);
	}

	/**
	 * Returns the newest version of the holdings that a quorum has.
	 * @return the version, or {@link Long#MIN_VALUE} if there is no quorum
	 */
	long quorumVersion() {
		return quorumValue(false);
	}

	private long quorumValue(boolean isSentTime) {
		if (this.possibleWitnessSets.isEmpty()) {
			return Long.MIN_VALUE;
		}
		long minimum = Long.MAX_VALUE;
		for (List<InstanceId> witnesses : this.possibleWitnessSets) {
			int needed = WitnessQuorum.acknowledgements(witnesses.size());
			if (needed > witnesses.size()) {
				return Long.MIN_VALUE;
			}
			List<Long> values = new ArrayList<>();
			for (InstanceId witness : witnesses) {
				Acknowledgement acknowledgement = this.latest.getOrDefault(witness, Acknowledgement.NONE);
				values.add(isSentTime ? acknowledgement.sentMs : acknowledgement.version);
			}
			values.sort((a, b) -> Long.compare(b, a));
			minimum = Math.min(minimum, values.get(needed - 1));
		}
		return minimum;
	}

	private record Acknowledgement(long sentMs, long version) {

		private static final Acknowledgement NONE = new Acknowledgement(Long.MIN_VALUE, 0);

	}

}
