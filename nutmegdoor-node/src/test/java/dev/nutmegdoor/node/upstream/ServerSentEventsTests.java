package dev.nutmegdoor.node.upstream;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class ServerSentEventsTests {

	// Guards against characters and fields torn apart by the boundaries of network reads.
	@Test
	void joinsEventsThatAreSplitAtEveryByte() {
		ServerSentEvents parser = new ServerSentEvents();
		List<String> events = new ArrayList<>();
		String stream = "id: 1\r\ndata: habari ya asubuhi \u00e9\u4e16\r\n\r\n: comment\ndata: a\ndata:b\n\n\n";
		for (byte b : stream.getBytes(StandardCharsets.UTF_8)) {
			events.addAll(parser.accept(new byte[] { b }));
		}
		assertThat(events, is(List.of("habari ya asubuhi \u00e9\u4e16", "a\nb")));
	}

}
