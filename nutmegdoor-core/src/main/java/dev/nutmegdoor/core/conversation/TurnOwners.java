package dev.nutmegdoor.core.conversation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import net.openhft.hashing.LongHashFunction;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.ledger.LedgerMember;

/**
 * Chooses the members that store the turns of a group, by rendezvous hashing within each
 * zone, so that all processes that know the same members choose the same ones.
 */
public final class TurnOwners {

	/**
	 * Two members may fail at the same time, so that a turn must be on three.
	 */
	private static final int MIN_COPIES = 3;

	private TurnOwners() {
	}

	/**
	 * Returns the members of each zone in the order in which they are used for a group.
	 * The first one of each zone is chosen; the others replace members that can't store
	 * the turn.
	 * @param group group of the turn
	 * @param members all members
	 * @return members by zone, in descending order of their weight
	 */
	public static Map<AvailabilityZone, List<LedgerMember>> byZone(String group, Collection<LedgerMember> members) {
		Map<AvailabilityZone, List<LedgerMember>> byZone = new TreeMap<>();
		members.forEach((member) -> byZone.computeIfAbsent(member.zone(), (zone) -> new ArrayList<>()).add(member));
		byZone.values()
			.forEach((zoneMembers) -> zoneMembers
				.sort(Comparator.comparingLong((LedgerMember member) -> weight(group, member))
					.reversed()
					.thenComparing(LedgerMember::id)));
		return byZone;
	}

	/**
	 * Returns the members that store the turns of a group if all are reachable: the first
	 * one of each zone and, with fewer than three zones, the next ones of all zones in
	 * turn.
	 * @param group group of the turns
	 * @param members all members
	 * @return at least three members, or all if there are fewer
	 */
	public static List<LedgerMember> chosen(String group, Collection<LedgerMember> members) {
		Collection<List<LedgerMember>> zones = byZone(group, members).values();
		int needed = Math.min(members.size(), Math.max(MIN_COPIES, zones.size()));
		List<LedgerMember> chosen = new ArrayList<>();
		for (int rank = 0; chosen.size() < needed; rank++) {
			for (List<LedgerMember> zoneMembers : zones) {
				if (rank < zoneMembers.size() && chosen.size() < needed) {
					chosen.add(zoneMembers.get(rank));
				}
			}
		}
		return chosen;
	}

	private static long weight(String group, LedgerMember member) {
		return LongHashFunction.xx().hashChars(group + "/" + member.id());
	}

}
