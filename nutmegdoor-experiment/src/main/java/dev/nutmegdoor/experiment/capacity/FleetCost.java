package dev.nutmegdoor.experiment.capacity;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import dev.nutmegdoor.core.fake.FakeFleet;
import dev.nutmegdoor.core.lease.LeaseMessages;
import dev.nutmegdoor.core.limit.LimitMessages;
import dev.nutmegdoor.core.membership.MembershipMessages;
import dev.nutmegdoor.core.peer.PeerMessage;
import dev.nutmegdoor.protocol.FrameCodec;
import dev.nutmegdoor.protocol.FrameKind;
import dev.nutmegdoor.protocol.MessageTypes;

/**
 * Cost of an idle fleet: membership, leases and rate shares on virtual time. Bytes are
 * those of the frames that the TCP transport would send.
 *
 * @param messagesPerSecond messages that a node sends a second
 * @param bytesPerSecond bytes that a node sends a second
 * @param storeCallsPerSecond calls to the platform of the whole fleet a second
 * @param storeWritesPerSecond writes to the platform of the whole fleet a second
 * @param coreShare part of a core that a node uses, without encoding and network
 */
record FleetCost(double messagesPerSecond, double bytesPerSecond, double storeCallsPerSecond,
		double storeWritesPerSecond, double coreShare) {

	private static final int ZONES = 6;

	/** Time in which all instances have joined and acquired their leases. */
	private static final long SETTLE_MS = 30_000;

	private static final long MEASURED_MS = 60_000;

	private static final Map<Integer, FleetCost> MEASURED = new HashMap<>();

	/**
	 * Measures a fleet once and remembers the result.
	 * @param nodes number of entry instances
	 * @return the cost
	 */
	static synchronized FleetCost of(int nodes) {
		return MEASURED.computeIfAbsent(nodes, FleetCost::measure);
	}

	private static FleetCost measure(int nodes) {
		FakeFleet fleet = new FakeFleet(nodes, ZONES);
		fleet.start(nodes);
		fleet.advance(SETTLE_MS);
		ByteCounter bytes = new ByteCounter();
		long messagesBefore = fleet.network().sentMessages();
		long callsBefore = fleet.store().calls();
		long writesBefore = fleet.store().writes();
		long startNs = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
		fleet.advance(MEASURED_MS);
		long cpuNs = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - startNs;
		double seconds = MEASURED_MS / 1000.0;
		double messages = (fleet.network().sentMessages() - messagesBefore) / seconds / nodes;
		double calls = (fleet.store().calls() - callsBefore) / seconds;
		double writes = (fleet.store().writes() - writesBefore) / seconds;
		fleet.network().setObserver(bytes);
		fleet.advance(MEASURED_MS);
		return new FleetCost(messages, bytes.total / seconds / nodes, calls, writes,
				cpuNs / (MEASURED_MS * 1_000_000.0) / nodes);
	}

	private static final class ByteCounter implements Consumer<PeerMessage> {

		private static final int LENGTH_PREFIX_BYTES = 4;

		private final FrameCodec codec;

		private long total;

		private ByteCounter() {
			List<Class<? extends PeerMessage>> types = new ArrayList<>();
			types.addAll(MembershipMessages.types());
			types.addAll(LeaseMessages.types());
			types.addAll(LimitMessages.types());
			this.codec = new FrameCodec(new MessageTypes(types));
		}

		@Override
		public void accept(PeerMessage message) {
			this.total += this.codec.encode(this.codec.frame(FrameKind.REQUEST, message, 1, 1_000)).length
					+ LENGTH_PREFIX_BYTES;
		}

	}

}
