package dev.nutmegdoor.core.membership;

/**
 * A state of an instance as it is passed on. Only the instance itself raises its version;
 * of two updates with the same version the later state in the order of {@link #rank()}
 * counts.
 *
 * @param member the instance with its state
 * @param version version that the instance gave its state; 0 if it is known from the
 * platform's list only
 */
public record MemberUpdate(Member member, long version) {

	/**
	 * Returns whether this update replaces another one of the same instance.
	 * @param other the known update
	 * @return {@code true} if this one is newer
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
