package dev.nutmegdoor.standin.relay;

import java.io.OutputStream;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

/**
 * Tests requests that a gateway sends to a replica more than once.
 */
class GatewayRetryTests extends GatewayEnvironment {

	@Override
	void putDeployment() throws Exception {
		put("servers", "r-1", """
				{"Service":"s","Addr":"%s:%d","Zone":"a","Slots":4,"State":"ready","Seq":1}""".formatted(HOST,
				this.replica.port()));
		put("config", "main", """
				{"Version":1,"Limits":{"IdleTimeoutMs":60000},"Routes":[
				{"Name":"once","Host":"h.example","Prefix":"/once/","Kind":"unsafe","TimeoutMs":5000,"Service":"s",
				"Attempts":3}],
				"Services":[{"Name":"s"}],
				"Tenants":[{"Name":"w","ApiKeys":["key-1"],"RatePerS":1000,"Burst":1000}]}""");
	}

	@Nested
	class RequestsThatReplicaDeclines {

		private final Set<OutputStream> declinedOn = ConcurrentHashMap.newKeySet();

		private final Set<String> declinedAttempts = new HashSet<>();

		private final AtomicInteger runs = new AtomicInteger();

		// Guards against a booking that runs twice because its first refusal is repeated.
		@Test
		void runOnceWhenRefusalIsRepeated() throws Exception {
			ReplicaServer.Responder refusal = ReplicaServer.fixedResponse(503, "Not-Executed: 1\r\n", "busy");
			GatewayRetryTests.this.replica.respondWith((request, output) -> {
				boolean isRepeated = this.declinedOn.contains(output);
				if (this.declinedAttempts.add(request.fields.get("attempt-id"))) {
					this.declinedOn.add(output);
					refusal.respond(request, output);
					return;
				}
				if (isRepeated) {
					refusal.respond(request, output);
				}
				this.runs.incrementAndGet();
				ReplicaServer.fixedResponse(200, "", "booked").respond(request, output);
			});
			assertThat(exchange("/once/a", KEY, ""), containsString("HTTP/1.1 200"));
			assertThat(this.runs.get(), is(1));
		}

	}

}
