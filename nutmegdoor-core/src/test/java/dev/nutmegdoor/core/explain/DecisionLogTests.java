package dev.nutmegdoor.core.explain;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.id.DecisionId;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.WorkspaceId;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class DecisionLogTests {

	private static final long MAX_BYTES = 40_000;

	private final DecisionIds ids = new DecisionIds(new InstanceId("i-1"));

	private final DecisionLog log = new DecisionLog(this.ids, MAX_BYTES);

	private DecisionId record(boolean isRefusal, int number) {
		DecisionId id = this.ids.next();
		this.log.record(new DecisionRecord(id, DecisionKind.ADMISSION, 0, new WorkspaceId("w-1"), isRefusal, "double",
				new Doubling(number), new Doubled(number * 2), List.of(), ""));
		return id;
	}

	// Guards against a log whose memory grows with the traffic, and against discarded
	// records that are reported as unknown.
	@Test
	void staysWithinMemoryBoundAndReportsDroppedRecords() {
		DecisionId first = record(false, 1);
		for (int i = 0; i < 10_000; i++) {
			record(i % 2 == 0, i);
		}
		DecisionLogDump dump = this.log.dump();
		assertThat(dump.keptOtherBytes() + dump.keptRefusalBytes(), is(lessThanOrEqualTo(MAX_BYTES)));
		assertThat(this.log.explain(first).status(), is(ExplanationStatus.DROPPED));
		assertThat(this.log.explain(new DecisionId("i-1:999999")).status(), is(ExplanationStatus.UNKNOWN));
	}

	// Guards against refusals that are discarded early because placements are far more
	// frequent.
	@Test
	void retainsRefusalsWhenOtherDecisionsExceedTheirBound() {
		DecisionId refusal = record(true, 1);
		for (int i = 0; i < 10_000; i++) {
			record(false, i);
		}
		assertThat(this.log.explain(refusal).records(), hasSize(1));
	}

	// Guards against a workspace that reads decisions on requests of another workspace.
	@Test
	void hidesRecordsFromOtherWorkspaces() {
		DecisionId id = record(true, 1);
		assertThat(this.log.explainFor(id, new WorkspaceId("w-2")).status(), is(ExplanationStatus.UNKNOWN));
		assertThat(this.log.explainFor(id, new WorkspaceId("w-1")).status(), is(ExplanationStatus.FOUND));
	}

	@Nested
	class ReplayVerification {

		private final DecisionVerifier verifier = new DecisionVerifier(
				Map.of(DecisionKind.ADMISSION, new DecisionReplay<>(Doubling.class, Doubling::decide)));

		// Guards against a verification that accepts a record whose inputs do not lead
		// to its outcome.
		@Test
		void acceptsOriginalRecordAndDetectsAlteredInputs() {
			ObjectNode storedRecord = (ObjectNode) DecisionLogTests.this.log.explain(record(false, 21))
				.records()
				.get(0);
			assertThat(this.verifier.verify(storedRecord).status(), is(VerificationStatus.AGREES));
			((ObjectNode) storedRecord.get("inputs")).put("number", 20);
			assertThat(this.verifier.verify(storedRecord).status(), is(VerificationStatus.DIFFERS));
		}

	}

	record Doubling(int number) {

		Doubled decide() {
			return new Doubled(this.number * 2);
		}

	}

	record Doubled(int number) {
	}

}
