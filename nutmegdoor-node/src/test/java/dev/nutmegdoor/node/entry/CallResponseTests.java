package dev.nutmegdoor.node.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.reactivestreams.Subscription;
import reactor.core.publisher.BaseSubscriber;
import reactor.test.StepVerifier;

import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.ModelCall;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.id.DecisionId;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.node.settings.LimitSettings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class CallResponseTests {

	private static final LimitSettings LIMITS = new LimitSettings(1_024, 1_024, 4_000, 1_000, 1);

	private final InvariantRegistry invariants = new InvariantRegistry();

	private final AtomicInteger cancellations = new AtomicInteger();

	private CallResponse startedResponse() {
		CallResponse response = new CallResponse(new CallRequest(new DecisionId("i1:1"), new WorkspaceId("w1"),
				new KeyId("k1"), null, 0, "", new ModelCall("m", "[]", 1, 1), 1_000), LIMITS, this.invariants, () -> {
				});
		response.started(this.cancellations::incrementAndGet);
		return response;
	}

	// Guards against memory exhaustion by a client that never reads, so that the instance
	// buffers the entire response.
	@Test
	void cancelsCallWhenClientReadsTooSlowly() {
		CallResponse response = startedResponse();
		List<ResponseEvent> events = new ArrayList<>();
		BaseSubscriber<ResponseEvent> reader = new BaseSubscriber<>() {

			@Override
			protected void hookOnSubscribe(Subscription subscription) {
			}

			@Override
			protected void hookOnNext(ResponseEvent event) {
				events.add(event);
			}

		};
		response.events().subscribe(reader);
		for (int i = 0; i < 20; i++) {
			response.generated(100 * i, "x".repeat(100));
		}
		assertThat(this.cancellations.get(), is(1));
		assertThat(response.isEnded(), is(true));
		reader.request(100);
		assertThat(events.size(), is(11));
		ResponseEvent.Refused last = (ResponseEvent.Refused) events.get(10);
		assertThat(last.refusal().reason(), is(RefusalReason.CANCELLED));
	}

	// Guards against a response of unbounded size, which a client that reads fast enough
	// would otherwise receive.
	@Test
	void cancelsCallWhenResponseExceedsMaximumSize() {
		CallResponse response = startedResponse();
		StepVerifier.create(response.events()).then(() -> {
			for (int i = 0; i < 50; i++) {
				response.generated(100 * i, "x".repeat(100));
			}
		}).expectNextCount(40).expectNextMatches((event) -> event instanceof ResponseEvent.Refused).verifyComplete();
		assertThat(this.cancellations.get(), is(1));
	}

	// Guards against a client that repeats a call because it was reported as not run,
	// although it had already generated text.
	@Test
	void reportsViolationWhenNotRunRefusalFollowsGeneratedText() {
		CallResponse response = startedResponse();
		response.generated(0, "habari");
		response.refused(Refusal.notRun(RefusalReason.NO_UPSTREAM, "", 0));
		assertThat(this.invariants.violated(Invariant.NOT_RUN_TRUTH), is(1L));
	}

	// Guards against an unknown outcome reported for a cancelled call that was never
	// sent, which the client could safely retry.
	@Test
	void keepsRunStateReportedByRunnerOnCancellation() {
		CallResponse response = startedResponse();
		response.started(() -> response.refused(Refusal.notRun(RefusalReason.CANCELLED, "", 0)));
		response.abort(new Refusal(RefusalReason.KEY_WITHDRAWN, RunState.UNKNOWN, "withdrawn", 0));
		StepVerifier.create(response.events())
			.expectNext(new ResponseEvent.Refused(Refusal.notRun(RefusalReason.KEY_WITHDRAWN, "withdrawn", 0)))
			.verifyComplete();
	}

}
