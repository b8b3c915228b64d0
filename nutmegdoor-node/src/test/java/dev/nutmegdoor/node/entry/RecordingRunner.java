package dev.nutmegdoor.node.entry;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import dev.nutmegdoor.core.call.CallHandle;
import dev.nutmegdoor.core.call.CallListener;
import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.CallRunner;
import dev.nutmegdoor.core.id.UpstreamId;

/**
 * Records calls and keeps them open until the test completes them.
 */
final class RecordingRunner implements CallRunner {

	private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();

	@Override
	public CallHandle run(CallRequest request, CallListener listener) {
		this.calls.add(new Call(request, listener));
		return () -> {
		};
	}

	Call next() throws InterruptedException {
		Call call = this.calls.poll(10, TimeUnit.SECONDS);
		if (call == null) {
			throw new AssertionError("no call was received within 10 seconds");
		}
		return call;
	}

	List<Call> remaining() {
		return List.copyOf(this.calls);
	}

	record Call(CallRequest request, CallListener listener) {

		void complete(String body) {
			this.listener.completed(new CallResult(new UpstreamId("u1"), 200, body, 1, 0, 1));
		}

	}

}
