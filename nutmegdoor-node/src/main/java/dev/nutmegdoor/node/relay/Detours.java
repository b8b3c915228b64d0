package dev.nutmegdoor.node.relay;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;
import reactor.core.Disposable;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.reachability.DetourPeers;

/**
 * Searches for other instances through which a replica is reached. Confined to one event
 * loop.
 */
final class Detours {

	/**
	 * Time in milliseconds after which the next instance is asked as well. Instances that
	 * are partitioned themselves may answer only after their own connection timeout.
	 */
	private static final long NEXT_PEER_DELAY_MS = 50;

	private final Gateways gateways;

	private final DetourPeers peers;

	private final ReplicaTunnelClient tunnels;

	private final EventLoop eventLoop;

	private final LongSupplier clockMs;

	/**
	 * Creates a search without results.
	 * @param gateways the other instances
	 * @param peers selects instances among them
	 * @param tunnels opens connections through them
	 * @param eventLoop event loop to which searches are confined
	 * @param clockMs monotonic clock in milliseconds
	 */
	Detours(Gateways gateways, DetourPeers peers, ReplicaTunnelClient tunnels, EventLoop eventLoop,
			LongSupplier clockMs) {
		this.gateways = gateways;
		this.peers = peers;
		this.tunnels = tunnels;
		this.eventLoop = eventLoop;
		this.clockMs = clockMs;
	}

	/**
	 * Asks one instance after the other until one has opened a tunnel. If the search
	 * fails, the replica has received nothing.
	 * @param replica replica to reach
	 * @param timeLeftMs time until the deadline of the request in milliseconds
	 * @param maxPeers maximum number of instances to ask
	 * @param onReached receives the channel to the replica
	 * @param onFailure receives the reasons if no instance has reached the replica
	 * @return handle that ends the search, without effect on a channel that was passed on
	 */
	Disposable search(Upstream replica, long timeLeftMs, int maxPeers, Consumer<Channel> onReached,
			Consumer<String> onFailure) {
		Search search = new Search(replica, timeLeftMs, onReached, onFailure, this.peers
			.select(this.gateways.instances(), this.gateways::isInOwnZone, maxPeers, this.clockMs.getAsLong()));
		search.askNext();
		return search;
	}

	private final class Search implements Disposable {

		private final Upstream replica;

		private final long startedMs = Detours.this.clockMs.getAsLong();

		private final long timeLeftMs;

		private final Consumer<Channel> onReached;

		private final Consumer<String> onFailure;

		private final List<InstanceId> candidates;

		private final List<Disposable> openings = new ArrayList<>();

		private final List<String> reasons = new ArrayList<>();

		private int asked;

		private int awaited;

		private boolean isEnded;

		private @Nullable ScheduledFuture<?> timer;

		private Search(Upstream replica, long timeLeftMs, Consumer<Channel> onReached, Consumer<String> onFailure,
				List<InstanceId> candidates) {
			this.replica = replica;
			this.timeLeftMs = timeLeftMs;
			this.onReached = onReached;
			this.onFailure = onFailure;
			this.candidates = candidates;
		}

		private void askNext() {
			stopTimer();
			if (this.isEnded) {
				return;
			}
			if (this.asked < this.candidates.size()) {
				ask(this.candidates.get(this.asked++));
			}
			else if (this.awaited == 0) {
				this.isEnded = true;
				this.onFailure
					.accept(this.reasons.isEmpty() ? "no other instance was asked" : String.join("; ", this.reasons));
			}
		}

		private void ask(InstanceId peer) {
			InetSocketAddress address = Detours.this.gateways.addressOf(peer);
			if (address == null) {
				askNext();
				return;
			}
			this.awaited++;
			long elapsedMs = Detours.this.clockMs.getAsLong() - this.startedMs;
			this.openings
				.add(Detours.this.tunnels.open(peer, address, this.replica, Math.max(1, this.timeLeftMs - elapsedMs),
						(channel) -> reached(peer, channel), (failure) -> failed(peer, failure)));
			if (!this.isEnded && this.timer == null && this.asked < this.candidates.size()) {
				this.timer = Detours.this.eventLoop.schedule(this::askNext, NEXT_PEER_DELAY_MS, TimeUnit.MILLISECONDS);
			}
		}

		private void reached(InstanceId peer, Channel channel) {
			dispose();
			Detours.this.peers.recordReached(peer);
			this.onReached.accept(channel);
		}

		private void failed(InstanceId peer, TunnelFailure failure) {
			this.awaited--;
			this.reasons.add(failure.reason());
			Detours.this.peers.recordFailed(peer, failure.isPeerUnavailable(), Detours.this.clockMs.getAsLong());
			askNext();
		}

		private void stopTimer() {
			ScheduledFuture<?> scheduled = this.timer;
			if (scheduled != null) {
				scheduled.cancel(false);
				this.timer = null;
			}
		}

		@Override
		public void dispose() {
			this.isEnded = true;
			stopTimer();
			this.openings.forEach(Disposable::dispose);
		}

		@Override
		public boolean isDisposed() {
			return this.isEnded;
		}

	}

}
