package dev.nutmegdoor.core.membership;

/**
 * Versioned state of an instance, as sent between instances. Only the instance itself
 * increments its version; of two updates with the same version the one with the higher
 * {@link #rank()} wins.
 *
 * @param member the instance with its state
 * @param version version that the instance assigned to its state; 0 if the instance was
 * discovered through the platform's list or the settings and has not reported its state
 * yet
 */
public record MemberUpdate(Member member, long version) {

	/**
	 * Returns whether this update replaces another update of the same instance.
	 * @param other update that is in the table
	 * @return {@code true} if this update has a higher version, or a state of higher rank
	 * at the same version
	 */
	boolean isNewerThan(MemberUpdate other) {
		if (this.version != other.version) {
			return this.version > other.version;
		}
		return rank() > other.rank();
	}

	private int rank() {
		return switch (this.member.state()) {
			case LIVE -> 0;
			case SUSPECT -> 1;
			case LEAVING -> 2;
			case GONE -> 3;
		};
	}

	MemberUpdate withState(MemberState state) {
		return new MemberUpdate(new Member(this.member.id(), this.member.availabilityZone(), this.member.host(),
				this.member.port(), state), this.version);
	}

}
