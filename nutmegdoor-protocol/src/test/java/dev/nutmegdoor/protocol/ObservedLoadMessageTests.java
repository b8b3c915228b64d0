package dev.nutmegdoor.protocol;

import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.peer.PeerMessage;
import dev.nutmegdoor.core.placement.ObservedLoad;
import dev.nutmegdoor.core.usage.UsageReport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class ObservedLoadMessageTests {

	private static final UpstreamId REPLICA = new UpstreamId("r");

	// Guards against times of work that are lost between instances.
	@Test
	void keepsTimesOfWork() {
		List<ObservedLoad> loads = List.of(new ObservedLoad(REPLICA, 3, 20, 1.5, 250, 0.5, 2.0),
				new ObservedLoad(REPLICA, 3, 20, null));
		UsageReport report = new UsageReport("i", new AvailabilityZone("a"), "127.0.0.1", 1, false, Map.of(), Map.of(),
				1, loads, List.of(), null);
		FrameCodec codec = new FrameCodec(new MessageTypes(List.of(UsageReport.class)));
		assertThat(codec.message(codec.frame(FrameKind.ONE_WAY, report, 0, 0)), is(report));
	}

	// Guards against a rolling replacement in which the loads of older instances can't be
	// read, or those of newer ones by them.
	@Test
	void isReadAcrossVersions() {
		FrameCodec older = new FrameCodec(new MessageTypes(List.of(OlderMessage.class)));
		FrameCodec newer = new FrameCodec(new MessageTypes(List.of(NewerMessage.class)));
		Frame ofOlder = older.frame(FrameKind.ONE_WAY, new OlderMessage(List.of(new OlderLoad(REPLICA, 3, 20, 1.5))), 0,
				0);
		assertThat(newer.message(new Frame(ofOlder.kind(), "NewerMessage", 0, 0, ofOlder.body())),
				is(new NewerMessage(List.of(new ObservedLoad(REPLICA, 3, 20, 1.5)))));
		Frame ofNewer = newer.frame(FrameKind.ONE_WAY,
				new NewerMessage(List.of(new ObservedLoad(REPLICA, 3, 20, 1.5, 250, 0.5, 2.0))), 0, 0);
		assertThat(older.message(new Frame(ofNewer.kind(), "OlderMessage", 0, 0, ofNewer.body())),
				is(new OlderMessage(List.of(new OlderLoad(REPLICA, 3, 20, 1.5)))));
	}

	record OlderLoad(UpstreamId replica, int calls, long ageMs, @Nullable Double requestsPerSecond) {

	}

	record OlderMessage(List<OlderLoad> loads) implements PeerMessage {

	}

	record NewerMessage(List<ObservedLoad> loads) implements PeerMessage {

	}

}
