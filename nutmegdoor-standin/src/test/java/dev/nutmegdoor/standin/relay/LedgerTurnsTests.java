package dev.nutmegdoor.standin.relay;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reactor.netty.resources.LoopResources;

import dev.nutmegdoor.core.conversation.FailureTolerance;
import dev.nutmegdoor.core.conversation.StoredTurn;
import dev.nutmegdoor.core.conversation.TurnChain;
import dev.nutmegdoor.core.conversation.TurnKey;
import dev.nutmegdoor.core.conversation.TurnMessages;
import dev.nutmegdoor.core.conversation.TurnQuery;
import dev.nutmegdoor.core.conversation.TurnStore;
import dev.nutmegdoor.core.conversation.TurnStored;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.node.control.ControlThread;
import dev.nutmegdoor.node.ledger.LedgerNode;
import dev.nutmegdoor.node.peer.PeerTransportSettings;
import dev.nutmegdoor.node.peer.TcpPeerTransport;
import dev.nutmegdoor.platform.ProcessSettings;
import dev.nutmegdoor.protocol.FrameCodec;
import dev.nutmegdoor.protocol.MessageTypes;
import dev.nutmegdoor.standin.platform.PlatformStandin;
import dev.nutmegdoor.standin.platform.PlatformStandinSettings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/**
 * Storage processes that keep turns on real disks and reach each other over TCP.
 */
class LedgerTurnsTests {

	private static final String HOST = InetAddress.getLoopbackAddress().getHostAddress();

	private static final List<String> NAMES = List.of("a1", "b1", "c1");

	private static final long LIMIT_NS = TimeUnit.SECONDS.toNanos(20);

	private static final long REQUEST_TIMEOUT_MS = 2_000;

	private final Map<String, LedgerNode> nodes = new HashMap<>();

	private final Map<InstanceId, InetSocketAddress> addresses = new HashMap<>();

	private final ControlThread control = new ControlThread("test-control");

	private final LoopResources loops = LoopResources.create("test", 1, true);

	@TempDir
	private Path data;

	private PlatformStandin platform;

	private TcpPeerTransport client;

	@BeforeEach
	void start() throws Exception {
		this.platform = PlatformStandin.start(PlatformStandinSettings.DEFAULT);
		this.client = new TcpPeerTransport(new InstanceId("gateway"),
				new PeerTransportSettings(HOST, GatewayEnvironment.freePort(), "", 64, 1_000),
				new FrameCodec(new MessageTypes(TurnMessages.types())), this.control, this.addresses::get, this.loops);
		for (String name : NAMES) {
			start(name, true);
		}
		await(() -> query("a1", "t0").members().size() == NAMES.size());
	}

	private void start(String name, boolean isFirstStart) throws IOException {
		int port = GatewayEnvironment.freePort();
		this.addresses.put(new InstanceId(name), new InetSocketAddress(HOST, port));
		LedgerNode node = new LedgerNode(new ProcessSettings(new InstanceId(name),
				new AvailabilityZone(name.substring(0, 1)), HOST, null, null, null, port, port, List.of(), isFirstStart,
				this.platform.address(), 5_000, this.data.resolve(name), 256, 8_000, 2_000, 2_000, 100,
				FailureTolerance.DEFAULT, null, null, false), 0, EventLog.NONE);
		node.start();
		this.nodes.put(name, node);
	}

	@AfterEach
	void stop() {
		this.nodes.values().forEach(LedgerNode::stop);
		this.client.close();
		this.control.close();
		this.loops.dispose();
		this.platform.close();
	}

	private void await(Condition condition) throws Exception {
		long endNs = System.nanoTime() + LIMIT_NS;
		while (!condition.isMet() && System.nanoTime() < endNs) {
			LockSupport.parkNanos(GatewayEnvironment.POLL_INTERVAL_NS);
		}
		assertThat(condition.isMet(), is(true));
	}

	private TurnChain query(String name, String id) {
		TurnQuery query = new TurnQuery(new TurnKey("w", id), 0);
		try {
			return this.control
				.call(() -> this.client.request(new InstanceId(name), query, TurnChain.class, REQUEST_TIMEOUT_MS))
				.thenCompose((answer) -> answer)
				.join();
		}
		catch (CompletionException ex) {
			return new TurnChain(false, List.of(), null, List.of());
		}
	}

	private void store(String name, StoredTurn turn) {
		this.control
			.call(() -> this.client.request(new InstanceId(name), new TurnStore(turn), TurnStored.class,
					REQUEST_TIMEOUT_MS))
			.thenCompose((answer) -> answer)
			.join();
	}

	private static StoredTurn turn(String id, String previousId) {
		return new StoredTurn(new TurnKey("w", id), previousId, "g", new byte[100_000], new byte[] { 1, -1 }, 60_000);
	}

	private void storeChain() {
		for (String name : NAMES) {
			store(name, turn("t1", null));
			store(name, turn("t2", "t1"));
		}
	}

	private List<String> files(String name) throws IOException {
		try (Stream<Path> files = Files.list(this.data.resolve(name))) {
			return files.map((file) -> file.getFileName().toString()).sorted().toList();
		}
	}

	// Guards against files of a feature that is not used.
	@Test
	void createNoFilesWithoutTurns() throws Exception {
		for (String name : NAMES) {
			assertThat(files(name), contains("ledger"));
		}
	}

	// Guards against confirmed turns that a process does not find again, or returns with
	// other bytes, after it was replaced.
	@Test
	void returnTurnsAfterRestart() throws Exception {
		storeChain();
		this.nodes.get("a1").stop();
		start("a1", false);
		await(() -> query("a1", "t2").turns().size() == 2);
		TurnChain chain = query("a1", "t2");
		assertThat(chain.isComplete(), is(true));
		assertThat(chain.turns().get(1).input(), is(turn("t1", null).input()));
		assertThat(chain.turns().get(1).output(), is(turn("t1", null).output()));
		assertThat(query("a1", "t9").turns(), is(empty()));
	}

	// Guards against a process on an empty disk that reports turns as absent before it
	// has copied them.
	@Test
	void copyTurnsToEmptyDiskBeforeTheyCountAsComplete() throws Exception {
		storeChain();
		this.nodes.get("b1").stop();
		try (Stream<Path> files = Files.walk(this.data.resolve("b1"))) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.delete(file);
			}
		}
		start("b1", false);
		await(() -> query("b1", "t9").isComplete());
		assertThat(query("b1", "t2").turns(), hasSize(2));
		await(() -> files("b1").equals(List.of("ledger", "turns")));
	}

	/**
	 * A condition that is polled.
	 */
	@FunctionalInterface
	private interface Condition {

		boolean isMet() throws Exception;

	}

}
