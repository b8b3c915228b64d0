package dev.nutmegdoor.experiment.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.Member;
import dev.nutmegdoor.core.membership.MemberState;
import dev.nutmegdoor.core.membership.MembershipView;

/**
 * Membership as heartbeats would show it: silent instances become suspect after three
 * seconds and gone after thirty.
 */
final class SimMembers implements MembershipView {

	private static final long SUSPECT_MS = 3_000;

	private static final long GONE_MS = 30_000;

	private static final int PORT = 1;

	private final SimNetwork network;

	private final FakeHost host;

	private final Set<InstanceId> leaving;

	private final Map<InstanceId, Long> lastHeardMs = new HashMap<>();

	private final List<Consumer<Member>> listeners = new ArrayList<>();

	SimMembers(SimNetwork network, FakeHost host, Set<InstanceId> leaving) {
		this.network = network;
		this.host = host;
		this.leaving = leaving;
		listen();
		host.subscribe(500, this::listen);
	}

	static Set<InstanceId> noneLeaving() {
		return new HashSet<>();
	}

	private void listen() {
		for (FakeHost other : this.network.hosts()) {
			if (other == this.host || this.network.isConnected(this.host, other)) {
				this.lastHeardMs.put(other.id(), this.host.nowMs());
			}
		}
	}

	private @Nullable Member memberOf(FakeHost other) {
		Long heardMs = this.lastHeardMs.get(other.id());
		if (heardMs == null && other != this.host) {
			return null;
		}
		long silentMs = (other == this.host || heardMs == null) ? 0 : this.host.nowMs() - heardMs;
		MemberState state = (silentMs >= GONE_MS) ? MemberState.GONE : (silentMs >= SUSPECT_MS) ? MemberState.SUSPECT
				: this.leaving.contains(other.id()) ? MemberState.LEAVING : MemberState.LIVE;
		return new Member(other.id(), other.availabilityZone(), "127.0.0.1", PORT, state);
	}

	@Override
	public Member self() {
		Member self = memberOf(this.host);
		if (self == null) {
			throw new IllegalStateException("no member for " + this.host.id());
		}
		return self;
	}

	@Override
	public List<Member> members() {
		List<Member> members = new ArrayList<>();
		for (FakeHost other : this.network.hosts()) {
			Member member = memberOf(other);
			if (member != null && member.state() != MemberState.GONE) {
				members.add(member);
			}
		}
		members.sort((a, b) -> a.id().compareTo(b.id()));
		return members;
	}

	@Override
	public @Nullable Member member(InstanceId id) {
		for (FakeHost other : this.network.hosts()) {
			if (other.id().equals(id)) {
				return memberOf(other);
			}
		}
		return null;
	}

	@Override
	public void subscribe(Consumer<Member> listener) {
		this.listeners.add(listener);
	}

}
