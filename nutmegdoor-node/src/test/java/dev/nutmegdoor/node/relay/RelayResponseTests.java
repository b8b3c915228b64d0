package dev.nutmegdoor.node.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;

import dev.nutmegdoor.core.id.DecisionId;
import dev.nutmegdoor.node.entry.Exchange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class RelayResponseTests {

	private static final int LARGE_BYTES = 1024 * 1024;

	private final RelayResponse response = new RelayResponse(
			new Exchange(null, null, new EmbeddedChannel(), new DecisionId("i-1:1")));

	private final ByteBuf chunk = Unpooled.buffer().writeZero(LARGE_BYTES);

	private boolean isReadingResumed;

	@Nested
	class AfterClientLeft {

		// Guards against responses to requests that may not be repeated, whose bytes stay
		// in memory because nobody takes them.
		@Test
		void releasesChunks() {
			RelayResponseTests.this.response.respond().subscribe().dispose();
			RelayResponseTests.this.response.start(HttpResponseStatus.OK, new DefaultHttpHeaders());
			RelayResponseTests.this.response.writeChunk(RelayResponseTests.this.chunk);
			RelayResponseTests.this.response.complete();
			assertThat(RelayResponseTests.this.chunk.refCnt(), is(0));
		}

		// Guards against a replica that is not read any more, because what waits for the
		// client is never taken.
		@Test
		void releasesWaitingChunksAndResumesReading() {
			Disposable exchange = RelayResponseTests.this.response.respond().subscribe();
			RelayResponseTests.this.response.writeChunk(RelayResponseTests.this.chunk);
			RelayResponseTests.this.response.onDrained(() -> RelayResponseTests.this.isReadingResumed = true);
			assertThat(RelayResponseTests.this.response.isFull(), is(true));
			exchange.dispose();
			assertThat(RelayResponseTests.this.chunk.refCnt(), is(0));
			assertThat(RelayResponseTests.this.response.isFull(), is(false));
			assertThat(RelayResponseTests.this.isReadingResumed, is(true));
		}

	}

}
