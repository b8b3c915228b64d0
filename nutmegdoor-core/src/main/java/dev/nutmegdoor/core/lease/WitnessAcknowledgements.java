package dev.nutmegdoor.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Tracks the acknowledgements of this instance's witnesses. While it is unknown which set
 * of witnesses the record in the store contains, a quorum of each possible set is needed.
 */
final class WitnessAcknowledgements {

	private final Map<InstanceId, Acknowledgement> latest = new HashMap<>();

	private List<List<InstanceId>> possibleWitnessSets = new ArrayList<>();

	/**
	 * Adds a set of witnesses whose write to the store may take effect.
	 * @param witnesses witnesses in the record to be written
	 */
	void propose(List<InstanceId> witnesses) {
		if (!this.possibleWitnessSets.contains(witnesses)) {
			this.possibleWitnessSets.add(witnesses);
		}
	}

	/**
	 * Sets the only possible set of witnesses, when the record in the store contains it
	 * and no earlier write can take effect any more.
	 * @param witnesses witnesses in the record
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
		// Half of the minimum, so that a difference of times does not overflow.
		return Math.max(Long.MIN_VALUE / 2, this.latest.getOrDefault(witness, Acknowledgement.NONE).sentMs);
	}

	Set<InstanceId> witnesses() {
		Set<InstanceId> witnesses = new LinkedHashSet<>();
		this.possibleWitnessSets.forEach(witnesses::addAll);
		return witnesses;
	}

	/**
	 * Returns the latest time such that a quorum has acknowledged heartbeats sent at that
	 * time or later.
	 * @return the time in milliseconds, or {@link Long#MIN_VALUE} without a quorum
	 */
	long quorumSentMs() {
		return quorumValue(true);
	}

	/**
	 * Returns the latest version such that a quorum stores that version of the holdings
	 * or a later one.
	 * @return the version, or {@link Long#MIN_VALUE} if no quorum is possible
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
