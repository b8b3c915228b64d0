package dev.nutmegdoor.experiment.soak;

import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.lease.LeaseBeat;
import dev.nutmegdoor.core.peer.PeerException;
import dev.nutmegdoor.core.peer.PeerFailure;
import dev.nutmegdoor.core.peer.PeerHandler;
import dev.nutmegdoor.core.peer.PeerMessage;
import dev.nutmegdoor.core.peer.PeerTransport;

/**
 * Transport of a simulated instance: what it sends while it is paused leaves when it
 * resumes, and nothing leaves after a crash.
 */
final class SimTransport implements PeerTransport {

	private final FakeHost host;

	private final PeerTransport target;

	private final RenewalBlocker leaseBlock;

	SimTransport(FakeHost host, PeerTransport target, RenewalBlocker leaseBlock) {
		this.host = host;
		this.target = target;
		this.leaseBlock = leaseBlock;
	}

	@Override
	public InstanceId self() {
		return this.target.self();
	}

	@Override
	public void send(InstanceId to, PeerMessage message) {
		OutboundEffects.run(this.host, () -> this.target.send(to, message));
	}

	@Override
	public <A extends PeerMessage> CompletableFuture<A> request(InstanceId to, PeerMessage message, Class<A> answerType,
			long timeoutMs) {
		if (message instanceof LeaseBeat && this.leaseBlock.isActive()) {
			return CompletableFuture.failedFuture(new PeerException(PeerFailure.NOT_SENT, "renewals are blocked"));
		}
		return OutboundEffects.call(this.host, () -> this.target.request(to, message, answerType, timeoutMs));
	}

	@Override
	public <M extends PeerMessage> void subscribe(Class<M> type, PeerHandler<M> handler) {
		this.target.subscribe(type, handler);
	}

}
