package dev.nutmegdoor.standin.relay;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.node.relay.GatewayNode;
import dev.nutmegdoor.platform.ProcessSettings;

/**
 * Gateways of one zone that share their watches over real connections.
 */
class GatewaySharedWatchTests extends GatewayEnvironment {

	private static final int GATEWAYS = 18;

	private static final int WATCHERS = 2;

	/** Longer than a test waits, so that a watch that hangs is not noticed by itself. */
	private static final long WATCHERS_WAIT_MS = 60_000;

	private final List<GatewayNode> gateways = new ArrayList<>();

	private final List<Integer> readinessPorts = new ArrayList<>();

	@AfterEach
	void stopOthers() {
		this.gateways.forEach(GatewayNode::stop);
	}

	private void startOthers() throws Exception {
		startOthers(this.platform.address());
	}

	// Their identifiers precede that of the first gateway, which the environment stops.
	private void startOthers(InetSocketAddress storeOfWatchers) throws Exception {
		for (int i = 0; i < GATEWAYS - 1; i++) {
			this.clientPort = freePort();
			this.readinessPort = freePort();
			String name = "i-0" + (20 + i);
			ProcessSettings settings = (i < WATCHERS)
					? settings(name, freePort(), freePort(), List.of(), storeOfWatchers, WATCHERS_WAIT_MS)
					: settings(name, freePort(), freePort(), List.of());
			GatewayNode other = new GatewayNode(settings, 0, EventLog.NONE);
			this.gateways.add(other);
			this.readinessPorts.add(this.readinessPort);
			other.start();
		}
	}

	private int count(String text) throws Exception {
		int count = 0;
		for (int port : this.readinessPorts) {
			this.readinessPort = port;
			count += dump().contains(text) ? 1 : 0;
		}
		return count;
	}

	// A gateway that gets no processor time for a second watches the store meanwhile, so
	// not all of them follow at any moment of a busy machine.
	private boolean doMostFollow() throws Exception {
		return count("watches=FOLLOWER") > GATEWAYS / 2;
	}

	private void putVersion(int version) {
		this.platform.put("config", "main", """
				{"Version":%d,"Limits":{"IdleTimeoutMs":60000},"Routes":[
				{"Name":"safe","Host":"h.example","Prefix":"/safe/","Kind":"safe","TimeoutMs":2000,"Service":"s"}],
				"Services":[{"Name":"s","Engine":{"Stride":6}}],
				"Tenants":[{"Name":"w","ApiKeys":["key-1"],"RatePerS":1000,"Burst":1000}]}""".formatted(version));
	}

	// Guards against gateways that don't find the watching ones, or don't apply what
	// these send, over real connections; and against followers that stay behind when both
	// watching gateways have stopped.
	@Test
	void followTwoGatewaysAndWatchAgainWhenTheseStop() throws Exception {
		startOthers();
		await(this::doMostFollow);
		putVersion(2);
		await(() -> count("configuration=2 ") == GATEWAYS - 1);
		for (int i = 0; i < 2; i++) {
			this.gateways.remove(0).stop();
			this.readinessPorts.remove(0);
		}
		putVersion(3);
		await(() -> count("configuration=3 ") == GATEWAYS - 3);
		await(this::doMostFollow);
	}

	// Guards against followers that keep an old configuration while the store answers
	// them, but not the gateways that watch it for them.
	@Test
	void applyChangesWhileStoreAnswersNoWatchingGateway() throws Exception {
		try (InterruptibleLink link = new InterruptibleLink(this.platform.address().getPort())) {
			startOthers(new InetSocketAddress(HOST, link.port()));
			await(this::doMostFollow);
			putVersion(2);
			await(() -> count("configuration=2 ") == GATEWAYS - 1);
			link.cut();
			putVersion(3);
			await(() -> count("configuration=3 ") >= GATEWAYS - 1 - WATCHERS);
		}
	}

}
