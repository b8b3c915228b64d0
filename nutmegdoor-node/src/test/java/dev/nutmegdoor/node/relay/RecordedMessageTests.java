package dev.nutmegdoor.node.relay;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.peer.PeerException;
import dev.nutmegdoor.core.peer.PeerFailure;
import dev.nutmegdoor.core.peer.PeerMessage;
import dev.nutmegdoor.core.route.DeploymentAnswer;
import dev.nutmegdoor.core.route.DeploymentRequest;
import dev.nutmegdoor.core.tunnel.TunnelOutcome;
import dev.nutmegdoor.node.control.ControlThread;
import dev.nutmegdoor.node.peer.PeerTransportSettings;
import dev.nutmegdoor.node.peer.TcpPeerTransport;
import dev.nutmegdoor.protocol.Frame;
import dev.nutmegdoor.protocol.FrameCodec;
import dev.nutmegdoor.protocol.FrameKind;
import dev.nutmegdoor.protocol.MessageTypes;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests that this version and version 491f599 can serve one deployment together. The
 * frames were recorded with the code of that version.
 */
class RecordedMessageTests {

	private static final int LIMIT_MS = 20_000;

	/** Components whose keys are data, so that no component can be added to them. */
	private static final Set<String> MAPS = Set.of("admitted", "levels");

	private static final byte[] ADDED_KEY = new byte[] { (byte) 0xa5, 'a', 'd', 'd', 'e', 'd', (byte) 0x81, (byte) 0xa1,
			'x', (byte) 0x92, 1, (byte) 0xc0 };

	private final ObjectMapper json = new ObjectMapper();

	private final ObjectMapper messagePack = new ObjectMapper(new MessagePackFactory());

	private final FrameCodec codec = new FrameCodec(new MessageTypes(GatewayNode.messageTypes()));

	static List<RecordedFrame> frames() {
		return RecordedFrame.all();
	}

	static List<RecordedFrame> messages() {
		return RecordedFrame.messages();
	}

	private PeerMessage decode(Frame frame) {
		PeerMessage message = this.codec.message(frame);
		assertThat("type " + frame.type() + " must be known", message, is(notNullValue()));
		return message;
	}

	private JsonNode tree(byte[] bytes) throws IOException {
		return this.json.readTree(this.messagePack.readTree(bytes).toString());
	}

	/** Lists what another version would miss or read differently. */
	private static List<String> differences(String path, JsonNode recorded, JsonNode written) {
		List<String> differences = new ArrayList<>();
		if (recorded.isObject() && written.isObject()) {
			recorded.properties()
				.forEach((field) -> differences
					.addAll(differences(path + "." + field.getKey(), field.getValue(), written.path(field.getKey()))));
		}
		else if (recorded.isArray() && written.isArray() && recorded.size() == written.size()) {
			for (int i = 0; i < recorded.size(); i++) {
				differences.addAll(differences(path + "[" + i + "]", recorded.get(i), written.get(i)));
			}
		}
		else if (!recorded.equals(written) && !(recorded.isNull() && written.isMissingNode())) {
			differences.add(path + " was " + recorded + ", is " + written);
		}
		return differences;
	}

	private static void addComponents(JsonNode node) {
		if (node instanceof ObjectNode object) {
			object.properties().forEach((field) -> {
				if (!MAPS.contains(field.getKey())) {
					addComponents(field.getValue());
				}
			});
			object.putArray("addedLater").addObject().put("x", 1.5).putNull("y");
		}
		node.forEach((element) -> {
			if (node.isArray()) {
				addComponents(element);
			}
		});
	}

	@Nested
	class FramesOfOlderVersion {

		// Guards against a message of the older version that is dropped or loses a
		// component here, and against one of this version that does there.
		@ParameterizedTest
		@MethodSource("dev.nutmegdoor.node.relay.RecordedMessageTests#messages")
		void areReadAndWrittenWithAllComponents(RecordedFrame recorded) throws IOException {
			PeerMessage message = decode(RecordedMessageTests.this.codec.decode(recorded.envelope()));
			Frame written = RecordedMessageTests.this.codec.frame(FrameKind.ONE_WAY, message, 0, 0);
			assertThat(written.type(), is(recorded.content().path("type").asText()));
			assertThat(differences("", recorded.content().path("message"), tree(written.body())), is(List.of()));
		}

		// Guards against requests without their answers, deadlines or receivers, and
		// against tunnels whose bytes are lost.
		@ParameterizedTest
		@MethodSource("dev.nutmegdoor.node.relay.RecordedMessageTests#frames")
		void haveSameEnvelopeHere(RecordedFrame recorded) throws IOException {
			Frame frame = RecordedMessageTests.this.codec.decode(recorded.envelope());
			JsonNode content = recorded.content();
			assertThat(frame.kind().name(), is(content.path("kind").asText()));
			assertThat(frame.type(), is(content.path("type").asText()));
			assertThat(frame.correlationId(), is(content.path("correlationId").asLong()));
			assertThat(frame.timeoutMs(), is(content.path("timeoutMs").asLong()));
			assertThat(frame.receiver(), is(content.path("receiver").asText()));
			if (content.has("bodyHex")) {
				assertThat(HexFormat.of().formatHex(frame.body()), is(content.path("bodyHex").asText()));
			}
			assertThat(differences("", tree(recorded.envelope()), tree(RecordedMessageTests.this.codec.encode(frame))),
					is(List.of()));
		}

	}

	@Nested
	class FramesOfLaterVersion {

		// Guards against a message that a later version can't extend, at any depth.
		@ParameterizedTest
		@MethodSource("dev.nutmegdoor.node.relay.RecordedMessageTests#messages")
		void areReadWithoutAddedComponents(RecordedFrame recorded) throws IOException {
			Frame frame = RecordedMessageTests.this.codec.decode(recorded.envelope());
			JsonNode extended = RecordedMessageTests.this.messagePack.readTree(frame.body());
			addComponents(extended);
			byte[] body = RecordedMessageTests.this.messagePack.writeValueAsBytes(extended);
			assertThat(decode(new Frame(frame.kind(), frame.type(), 0, 0, body)), is(decode(frame)));
		}

		// Guards against a connection that ends because of a key that a later version
		// adds to the envelope.
		@ParameterizedTest
		@MethodSource("dev.nutmegdoor.node.relay.RecordedMessageTests#frames")
		void areReadWithoutAddedKeys(RecordedFrame recorded) {
			byte[] extended = Arrays.copyOf(recorded.envelope(), recorded.envelope().length + ADDED_KEY.length);
			// The first byte is the head of a map with fewer than 16 keys.
			extended[0]++;
			System.arraycopy(ADDED_KEY, 0, extended, recorded.envelope().length, ADDED_KEY.length);
			Frame expected = RecordedMessageTests.this.codec.decode(recorded.envelope());
			Frame frame = RecordedMessageTests.this.codec.decode(extended);
			assertThat(RecordedMessageTests.this.codec.encode(frame),
					is(RecordedMessageTests.this.codec.encode(expected)));
		}

	}

	@Nested
	class Constants {

		// Guards against a constant that the older version can't read. It drops a message
		// that holds one, and closes a connection with an unknown kind of frame. A new
		// constant requires that the receiver has declared to know it.
		@Test
		void areThoseThatOlderVersionKnows() {
			JsonNode recorded = RecordedFrame.read("constants.json");
			assertThat(names(TunnelOutcome.values()), is(texts(recorded.path("TunnelOutcome"))));
			assertThat(names(UpstreamKind.values()), is(texts(recorded.path("UpstreamKind"))));
			Map<String, Integer> codes = new TreeMap<>();
			recorded.path("FrameKind")
				.properties()
				.forEach((field) -> codes.put(field.getKey(), field.getValue().asInt()));
			Map<String, Integer> current = new TreeMap<>();
			Stream.of(FrameKind.values()).forEach((kind) -> current.put(kind.name(), kind.code()));
			assertThat(current, is(codes));
		}

		private List<String> names(Enum<?>[] constants) {
			return Stream.of(constants).map(Enum::name).toList();
		}

		private List<String> texts(JsonNode array) {
			List<String> texts = new ArrayList<>();
			array.forEach((element) -> texts.add(element.asText()));
			return texts;
		}

	}

	@Nested
	class Connections {

		private final ControlThread control = new ControlThread("control-test");

		private int peerPort;

		private final TcpPeerTransport transport = new TcpPeerTransport(new InstanceId("disk-a-1~1"),
				new PeerTransportSettings("127.0.0.1", 0, "", 100, 1_000), RecordedMessageTests.this.codec,
				this.control, (id) -> new InetSocketAddress("127.0.0.1", this.peerPort));

		@AfterEach
		void stop() {
			this.transport.close();
			this.control.close();
		}

		// Guards against a peer of the older version that is not answered, and against a
		// connection that ends because of a message that only the other version knows.
		@Test
		void answerFramesLikeOlderVersion() throws IOException {
			int port = this.transport.start();
			try (Socket socket = open(port)) {
				write(socket, RecordedFrame.named("hello to a known instance").envelope());
				write(socket, encode(FrameKind.ONE_WAY, 0));
				assertThat(differences("", tree(RecordedFrame.named("acknowledgement of an unknown type").envelope()),
						tree(read(socket))), is(List.of()));
				write(socket, encode(FrameKind.REQUEST, 51));
				assertThat(differences("", tree(RecordedFrame.named("error for an unknown type").envelope()),
						tree(read(socket))), is(List.of()));
				write(socket, RecordedMessageTests.this.codec.encode(
						RecordedMessageTests.this.codec.frame(FrameKind.REQUEST, new DeploymentRequest(), 52, 900)));
				assertThat(differences("", tree(RecordedFrame.named("error without a handler").envelope()),
						tree(read(socket))), is(List.of()));
			}
		}

		// Guards against a request that waits for its time limit, or is repeated, because
		// the error of an older version that doesn't know it is not understood.
		@Test
		void reportUnknownTypeOfOlderVersionAsRemoteError() throws Exception {
			byte[] text = RecordedMessageTests.this.codec
				.decode(RecordedFrame.named("error for an unknown type").envelope())
				.body();
			assertThat(new String(text, StandardCharsets.UTF_8), startsWith("unknown type"));
			try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
				server.setSoTimeout(LIMIT_MS);
				this.peerPort = server.getLocalPort();
				CompletableFuture<DeploymentAnswer> answer = this.transport.request(new InstanceId("i-2"),
						new DeploymentRequest(), DeploymentAnswer.class, LIMIT_MS);
				try (Socket socket = server.accept()) {
					socket.setSoTimeout(LIMIT_MS);
					assertThat(RecordedMessageTests.this.codec.decode(read(socket)).kind(), is(FrameKind.HELLO));
					Frame request = RecordedMessageTests.this.codec.decode(read(socket));
					write(socket, RecordedMessageTests.this.codec
						.encode(new Frame(FrameKind.ERROR, "", request.correlationId(), 0, text)));
					ExecutionException failure = assertThrows(ExecutionException.class,
							() -> answer.get(LIMIT_MS, TimeUnit.MILLISECONDS));
					PeerException cause = (PeerException) failure.getCause();
					assertThat(cause.failure(), is(PeerFailure.REMOTE_ERROR));
					assertThat(cause.getMessage(), containsString("unknown type"));
				}
			}
		}

		private Socket open(int port) throws IOException {
			Socket socket = new Socket("127.0.0.1", port);
			socket.setSoTimeout(LIMIT_MS);
			return socket;
		}

		private byte[] encode(FrameKind kind, long correlationId) throws IOException {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			try (MessagePacker packer = MessagePack.newDefaultPacker(body)) {
				packer.packMapHeader(0);
			}
			return RecordedMessageTests.this.codec
				.encode(new Frame(kind, "FromALaterVersion", correlationId, 900, body.toByteArray()));
		}

		private void write(Socket socket, byte[] envelope) throws IOException {
			DataOutputStream output = new DataOutputStream(socket.getOutputStream());
			output.writeInt(envelope.length);
			output.write(envelope);
		}

		private byte[] read(Socket socket) throws IOException {
			DataInputStream input = new DataInputStream(socket.getInputStream());
			byte[] envelope = new byte[input.readInt()];
			input.readFully(envelope);
			return envelope;
		}

	}

}
