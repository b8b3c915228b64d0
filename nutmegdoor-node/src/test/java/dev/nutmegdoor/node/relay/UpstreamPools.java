package dev.nutmegdoor.node.relay;

import java.util.List;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import org.apache.commons.rng.simple.RandomSource;
import reactor.netty.resources.LoopResources;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.reachability.DetourPeers;
import dev.nutmegdoor.core.reachability.DirectReachability;
import dev.nutmegdoor.core.tunnel.TunnelMessages;
import dev.nutmegdoor.core.usage.UsagePeers;
import dev.nutmegdoor.platform.RequestTranslator;
import dev.nutmegdoor.protocol.FrameCodec;
import dev.nutmegdoor.protocol.MessageTypes;

/**
 * Creates pools of an instance that knows no other one.
 */
final class UpstreamPools {

	private static final InstanceId SELF = new InstanceId("i-1");

	private UpstreamPools() {
	}

	static UpstreamPool create(EventLoop eventLoop) {
		LoopResources loops = LoopResources.create("test", 1, true);
		MetricRegistry metrics = new MetricRegistry();
		DirectReachability reachability = new DirectReachability(EventLog.NONE);
		ReplicaTunnelClient tunnels = new ReplicaTunnelClient(SELF, "",
				new FrameCodec(new MessageTypes(TunnelMessages.types())), loops, (peer) -> true, 1);
		Detours detours = new Detours(new Gateways(new UsagePeers(SELF), new AvailabilityZone("a")),
				new DetourPeers(RandomSource.XO_SHI_RO_256_PP.create(1)), tunnels, eventLoop, () -> 0);
		ReplicaConnector connector = new ReplicaConnector(loops, reachability, detours, () -> 0, metrics);
		return new UpstreamPool(connector, reachability, () -> 0, eventLoop, new RequestTranslator(), metrics,
				EventLog.NONE, (replica) -> 1, List::of);
	}

}
