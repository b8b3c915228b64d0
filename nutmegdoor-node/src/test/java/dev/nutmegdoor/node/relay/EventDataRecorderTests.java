package dev.nutmegdoor.node.relay;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.netty.buffer.Unpooled;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class EventDataRecorderTests {

	private static String record(String... chunks) {
		EventDataRecorder recorder = new EventDataRecorder(10_000);
		for (String chunk : chunks) {
			recorder.add(Unpooled.copiedBuffer(chunk, StandardCharsets.UTF_8));
		}
		return new String(recorder.data(), StandardCharsets.UTF_8);
	}

	@Provide
	Arbitrary<List<String>> eventData() {
		return Arbitraries.strings()
			.withChars(" :ab\u00e9\u4e16")
			.ofMaxLength(8)
			.list()
			.ofMinSize(1)
			.ofMaxSize(3)
			.map((lines) -> String.join("\n", lines))
			.list()
			.ofMaxSize(8);
	}

	// Guards against a chain whose bytes differ from the events that the client received,
	// because they arrived in other chunks.
	@Property(tries = 500)
	void recordsSameDataForAnyChunkBoundaries(@ForAll("eventData") List<String> events,
			@ForAll @Size(max = 12) List<Integer> chunkEnds, @ForAll boolean isCrLf) {
		String lineEnd = isCrLf ? "\r\n" : "\n";
		StringBuilder text = new StringBuilder();
		StringBuilder expected = new StringBuilder();
		for (String event : events) {
			text.append("id: 1").append(lineEnd);
			for (String line : event.split("\n", -1)) {
				text.append("data: ").append(line).append(lineEnd);
			}
			text.append(": comment").append(lineEnd).append(lineEnd);
			expected.append(event).append('\n');
		}
		byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
		EventDataRecorder recorder = new EventDataRecorder(10_000);
		int from = 0;
		for (int to : chunkEnds.stream().map((end) -> Math.floorMod(end, bytes.length + 1)).sorted().toList()) {
			recorder.add(Unpooled.wrappedBuffer(bytes, from, to - from));
			from = to;
		}
		recorder.add(Unpooled.wrappedBuffer(bytes, from, bytes.length - from));
		assertThat(new String(recorder.data(), StandardCharsets.UTF_8), is(expected.toString()));
	}

	// Guards against fields of the stream that become part of the conversation.
	@Test
	void skipsFieldsOtherThanData() {
		assertThat(record("id: 1\nevent: data\nretry: 5\n: data: x\nversion: 2\ndatax: y\ndata: a\n\n"), is("a\n"));
		assertThat(record("version-changed\ndata: a\n\nid: 7\n\n: ping\n\n"), is("a\n"));
	}

	// Guards against data that is changed: only one space after the colon is no data.
	@Test
	void removesOneSpaceAfterColon() {
		assertThat(record("data:a\n\ndata: b \n\ndata:  c\n\n"), is("a\nb \n c\n"));
	}

	// Guards against events without text that are lost.
	@Test
	void recordsEmptyData() {
		assertThat(record("data:\n\ndata\n\ndata\ndata:\n\n"), is("\n\n\n\n"));
	}

	// Guards against the data of an event that the client has not received completely.
	@Test
	void ignoresUnfinishedEvent() {
		assertThat(record("data: a\n\nda", "ta: b\n"), is("a\n"));
	}

	// Guards against bytes that are changed because they were decoded as text.
	@Test
	void keepsBytesThatAreNoText() {
		EventDataRecorder recorder = new EventDataRecorder(100);
		byte[] bytes = { 'd', 'a', 't', 'a', ':', (byte) 0xff, 0, '\r', (byte) 0xc3, '\r', '\n', '\n' };
		recorder.add(Unpooled.wrappedBuffer(bytes));
		assertThat(recorder.data(), is(new byte[] { (byte) 0xff, 0, '\r', (byte) 0xc3, '\n' }));
	}

	// Guards against a process that runs out of memory because a stream never ends.
	@Test
	void stopsAtLimit() {
		EventDataRecorder recorder = new EventDataRecorder(100);
		for (int i = 0; i < 1_000; i++) {
			recorder.add(Unpooled.copiedBuffer("data: abc\n\n", StandardCharsets.US_ASCII));
		}
		assertThat(recorder.isTooLarge(), is(true));
		assertThat(recorder.data().length <= 100, is(true));
	}

}
