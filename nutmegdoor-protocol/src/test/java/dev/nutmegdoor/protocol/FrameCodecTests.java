package dev.nutmegdoor.protocol;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.peer.PeerMessage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

class FrameCodecTests {

	private final FrameCodec codec = new FrameCodec(new MessageTypes(List.of(Ping.class)));

	// Guards against requests without deadline or answers without request, because the
	// codec
	// loses a field of the frame.
	@Test
	void decodesEncodedFrame() {
		Ping ping = new Ping(new InstanceId("i-1"), 7);
		Frame frame = this.codec.decode(this.codec.encode(this.codec.frame(FrameKind.REQUEST, ping, 42, 1_500)));
		assertThat(frame.kind(), is(FrameKind.REQUEST));
		assertThat(frame.correlationId(), is(42L));
		assertThat(frame.timeoutMs(), is(1_500L));
		assertThat(this.codec.message(frame), is(ping));
	}

	@Nested
	class MixedVersions {

		// Guards against a rolling upgrade in which older instances fail to decode
		// messages
		// of newer ones.
		@Test
		void ignoresUnknownFields() {
			FrameCodec newer = new FrameCodec(new MessageTypes(List.of(PingOfNextVersion.class)));
			Frame newerFrame = newer.frame(FrameKind.ONE_WAY, new PingOfNextVersion(new InstanceId("i-1"), 3, "x"), 0,
					0);
			Frame receivedFrame = new Frame(newerFrame.kind(), "Ping", 0, 0, newerFrame.body());
			assertThat(FrameCodecTests.this.codec.message(receivedFrame), is(new Ping(new InstanceId("i-1"), 3)));
		}

		// Guards against a connection that is closed during a rolling upgrade because a
		// newer
		// instance sends an unknown message type.
		@Test
		void returnsNullForUnknownMessageType() {
			Frame frame = new Frame(FrameKind.REQUEST, "FromTheFuture", 1, 0, new byte[] { 1, 2 });
			assertThat(FrameCodecTests.this.codec.message(frame), is(nullValue()));
		}

	}

	@Nested
	class MalformedFrames {

		// Guards against a receiver that fails with another exception, or allocates an
		// excessive buffer for a length field, when it receives malformed bytes.
		@Test
		void rejectsInputThatIsNoEnvelope() {
			byte[] bytes = "not a frame".getBytes(StandardCharsets.UTF_8);
			assertThrows(ProtocolException.class, () -> FrameCodecTests.this.codec.decode(bytes));
		}

	}

	record Ping(InstanceId sender, long count) implements PeerMessage {
	}

	record PingOfNextVersion(InstanceId sender, long count, String addedField) implements PeerMessage {
	}

}
