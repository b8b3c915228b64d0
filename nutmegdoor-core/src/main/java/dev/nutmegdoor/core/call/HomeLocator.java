package dev.nutmegdoor.core.call;

import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.Member;
import dev.nutmegdoor.core.membership.MemberState;
import dev.nutmegdoor.core.program.PartitionRecord;
import dev.nutmegdoor.core.program.ProgramDependencies;
import dev.nutmegdoor.core.program.ProgramHomes;

/**
 * Locates the homes of programs and determines whether they are reachable.
 */
final class HomeLocator {

	static final long RETRY_MS = 200;

	static final Refusal UNREACHABLE = Refusal.notRun(RefusalReason.HOME_UNREACHABLE,
			"the home of the program can't be reached", 2_000);

	private final ProgramDependencies dependencies;

	private final ProgramHomes homes;

	HomeLocator(ProgramDependencies dependencies, ProgramHomes homes) {
		this.dependencies = dependencies;
		this.homes = homes;
	}

	/**
	 * Returns the owner of a partition if calls can be sent to it.
	 * @param partition name of the partition
	 * @return the owner, or {@code null} if it is unknown or neither live nor leaving
	 */
	@Nullable InstanceId routableOwner(String partition) {
		InstanceId owner = this.homes.controller().table().owner(partition);
		Member member = (owner != null) ? this.dependencies.members().member(owner) : null;
		boolean isReachable = member != null
				&& (member.state() == MemberState.LIVE || member.state() == MemberState.LEAVING);
		return isReachable ? owner : null;
	}

	/**
	 * Returns whether a takeover of a partition is expected, because its availability
	 * zone has a routable instance that could own it.
	 * @param partition name of the partition
	 * @return {@code false} if no instance of the zone is routable
	 */
	boolean isTakeoverExpected(String partition) {
		AvailabilityZone zone = PartitionRecord.zoneOf(partition);
		return this.dependencies.members()
			.members()
			.stream()
			.anyMatch((member) -> member.availabilityZone().equals(zone) && member.state().isRoutable());
	}

	List<String> reachablePartitions(@Nullable AvailabilityZone zone) {
		return this.homes.controller()
			.table()
			.names()
			.stream()
			.filter((name) -> zone == null || name.startsWith(zone + "."))
			.filter((name) -> routableOwner(name) != null)
			.toList();
	}

}
