package dev.nutmegdoor.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.InstanceId;

/**
 * Notifies listeners of state changes of members, once per change.
 */
final class MemberListeners {

	private final EventLog eventLog;

	private final List<Consumer<Member>> listeners = new ArrayList<>();

	private final Map<InstanceId, MemberState> announcedStates = new HashMap<>();

	MemberListeners(EventLog eventLog) {
		this.eventLog = eventLog;
	}

	void add(Consumer<Member> listener) {
		this.listeners.add(listener);
	}

	void announce(Member member) {
		MemberState previous = this.announcedStates.put(member.id(), member.state());
		if (previous == member.state()) {
			return;
		}
		this.eventLog.record("membership.changed", "instance", member.id(), "state", member.state());
		for (Consumer<Member> listener : List.copyOf(this.listeners)) {
			listener.accept(member);
		}
	}

}
