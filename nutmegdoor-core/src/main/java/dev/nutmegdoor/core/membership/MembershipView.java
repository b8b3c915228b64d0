package dev.nutmegdoor.core.membership;

import java.util.List;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * The instances that this instance knows.
 */
public interface MembershipView {

	/**
	 * Returns the own entry.
	 * @return this instance
	 */
	Member self();

	/**
	 * Returns all known instances that are not gone, this one included.
	 * @return a copy, ordered by identifier
	 */
	List<Member> members();

	/**
	 * Returns a known instance.
	 * @param id identifier
	 * @return the instance, or {@code null} if it is unknown
	 */
	@Nullable Member member(InstanceId id);

	/**
	 * Registers a listener for changes of state, called on the control thread.
	 * @param listener receives the changed member
	 */
	void subscribe(Consumer<Member> listener);

}
