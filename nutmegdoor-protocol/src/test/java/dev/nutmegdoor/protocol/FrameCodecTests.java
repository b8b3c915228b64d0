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

	// Guards against a field that is written and not read back.
	@Test
	void restoresWhatWasEncoded() {
		Ping ping = new Ping(new InstanceId("i-1"), 7);
		Frame frame = this.codec.decode(this.codec.encode(this.codec.frame(FrameKind.REQUEST, ping, 42, 1_500)));
		assertThat(frame.kind(), is(FrameKind.REQUEST));
		assertThat(frame.correlationId(), is(42L));
		assertThat(frame.timeoutMs(), is(1_500L));
		assertThat(this.codec.message(frame), is(ping));
	}

	@Nested
	class MixedVersions {

		// Guards against a rolling upgrade that breaks instances of the older version.
		@Test
		void ignoreFieldsThatTheReceiverDoesNotKnow() {
			FrameCodec newer = new FrameCodec(new MessageTypes(List.of(PingOfNextVersion.class)));
			Frame sent = newer.frame(FrameKind.ONE_WAY, new PingOfNextVersion(new InstanceId("i-1"), 3, "x"), 0, 0);
			Frame renamed = new Frame(sent.kind(), "Ping", 0, 0, sent.body());
			assertThat(FrameCodecTests.this.codec.message(renamed), is(new Ping(new InstanceId("i-1"), 3)));
		}

		// Guards against a message type of a newer version that closes the connection.
		@Test
		void reportUnknownTypesAsUnknown() {
			Frame frame = new Frame(FrameKind.REQUEST, "FromTheFuture", 1, 0, new byte[] { 1, 2 });
			assertThat(FrameCodecTests.this.codec.message(frame), is(nullValue()));
		}

	}

	@Nested
	class MalformedFrames {

		// Guards against a length field that makes the receiver allocate without bound.
		@Test
		void areRejected() {
			byte[] bytes = "not a frame".getBytes(StandardCharsets.UTF_8);
			assertThrows(ProtocolException.class, () -> FrameCodecTests.this.codec.decode(bytes));
		}

	}

	record Ping(InstanceId sender, long count) implements PeerMessage {
	}

	record PingOfNextVersion(InstanceId sender, long count, String addedField) implements PeerMessage {
	}

}
