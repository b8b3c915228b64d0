package dev.nutmegdoor.protocol;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.peer.PeerMessage;
import dev.nutmegdoor.core.tunnel.TunnelAnswer;
import dev.nutmegdoor.core.tunnel.TunnelMessages;
import dev.nutmegdoor.core.tunnel.TunnelOutcome;
import dev.nutmegdoor.core.tunnel.TunnelRequest;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class TunnelMessageTests {

	private final FrameCodec codec = new FrameCodec(new MessageTypes(TunnelMessages.types()));

	// Guards against tunnels that are never opened because their messages can't be
	// decoded.
	@Test
	void decodesAllTunnelMessages() {
		List<PeerMessage> messages = new ArrayList<>(List.of(new TunnelRequest("replica", 1_500)));
		for (TunnelOutcome outcome : TunnelOutcome.values()) {
			messages.add(new TunnelAnswer(outcome));
		}
		for (PeerMessage message : messages) {
			Frame frame = this.codec.decode(this.codec.encode(this.codec.frame(FrameKind.REQUEST, message, 1, 0)));
			assertThat(this.codec.message(frame), is(message));
		}
	}

	// Guards against a response that is changed by the frames of a tunnel, or whose end
	// is taken for a reset.
	@Test
	void keepsBytesAndKindOfTunnelFrames() {
		byte[] bytes = new byte[256];
		for (int i = 0; i < bytes.length; i++) {
			bytes[i] = (byte) i;
		}
		for (FrameKind kind : List.of(FrameKind.TUNNEL_DATA, FrameKind.TUNNEL_END, FrameKind.TUNNEL_RESET)) {
			Frame frame = this.codec.decode(this.codec.encode(new Frame(kind, "", 0, 0, bytes)));
			assertThat(frame.kind(), is(kind));
			assertThat(frame.body(), is(bytes));
		}
		assertThat(FrameKind.TUNNEL_DATA.code(), is(6));
		assertThat(FrameKind.TUNNEL_END.code(), is(7));
		assertThat(FrameKind.TUNNEL_RESET.code(), is(8));
	}

}
