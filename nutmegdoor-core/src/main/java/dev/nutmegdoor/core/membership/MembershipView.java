package dev.nutmegdoor.core.membership;

import java.util.List;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Provides the instances of the cluster as seen by this instance.
 */
public interface MembershipView {

	/**
	 * Returns this instance.
	 * @return this instance with its current state
	 */
	Member self();

	/**
	 * Returns all instances that are not gone, including this one.
	 * @return an immutable list, ordered by identifier
	 */
	List<Member> members();

	/**
	 * Returns an instance by its identifier, also if it is gone.
	 * @param id identifier of this or another instance
	 * @return the instance, or {@code null} if there is no record of it
	 */
	@Nullable Member member(InstanceId id);

	/**
	 * Registers a listener for new members and state changes.
	 * @param listener receives the member with its new state on the control thread
	 */
	void subscribe(Consumer<Member> listener);

}
