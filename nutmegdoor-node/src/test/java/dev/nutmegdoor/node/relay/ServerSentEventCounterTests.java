package dev.nutmegdoor.node.relay;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.netty.buffer.Unpooled;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class ServerSentEventCounterTests {

	private final ServerSentEventCounter counter = new ServerSentEventCounter();

	private void add(String text) {
		this.counter.add(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
	}

	// Guards against tokens that are not charged because an event arrives in several
	// chunks.
	@Property(tries = 300)
	void countsEventsForAnyChunkBoundaries(@ForAll @IntRange(min = 1, max = 40) int events,
			@ForAll @Size(max = 10) List<@IntRange(max = 2_000) Integer> chunkEnds, @ForAll boolean isCrLf) {
		ServerSentEventCounter chunkedCounter = new ServerSentEventCounter();
		String lineEnd = isCrLf ? "\r\n" : "\n";
		StringBuilder text = new StringBuilder();
		for (int i = 1; i <= events; i++) {
			text.append("id: ").append(i).append(lineEnd).append("data: x").append(lineEnd).append(lineEnd);
		}
		int from = 0;
		for (int chunkEnd : chunkEnds.stream().sorted().toList()) {
			int to = Math.min(chunkEnd, text.length());
			chunkedCounter.add(Unpooled.copiedBuffer(text.substring(from, to), StandardCharsets.US_ASCII));
			from = to;
		}
		chunkedCounter.add(Unpooled.copiedBuffer(text.substring(from), StandardCharsets.US_ASCII));
		assertThat(chunkedCounter.events(), is(events));
	}

	// Guards against tokens that are not charged because the stream ended within an event
	// that the client has partly received.
	@Test
	void countsAnUnfinishedEvent() {
		add("id: 1\ndata: x\n\nid: 2\nda");
		assertThat(this.counter.events(), is(2));
	}

}
