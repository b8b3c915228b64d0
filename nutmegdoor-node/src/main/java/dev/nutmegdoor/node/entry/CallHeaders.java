package dev.nutmegdoor.node.entry;

import java.util.regex.Pattern;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallPayload;
import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.id.ProgramId;

/**
 * Reads the header fields that assign a call to a program and turn, a kind of work and an
 * idempotency key. Malformed fields are rejected with {@link RefusalException}.
 */
final class CallHeaders {

	static final String PROGRAM = "Nutmegdoor-Program";

	static final String PARENT = "Nutmegdoor-Parent";

	static final String TURN = "Nutmegdoor-Turn";

	static final String WORK = "Nutmegdoor-Work";

	static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	private static final int MAX_TURN = 1_000_000;

	private static final Pattern VISIBLE_ASCII = Pattern.compile("[!-~]{1,200}");

	private final ConfigurationView configuration;

	private final long callTimeoutMs;

	CallHeaders(ConfigurationView configuration, long callTimeoutMs) {
		this.configuration = configuration;
		this.callTimeoutMs = callTimeoutMs;
	}

	CallRequest request(Exchange exchange, CallPayload payload) {
		ProgramId program = program(exchange, PROGRAM);
		if (exchange.header(PARENT) != null) {
			throw RefusalException.malformed("the header " + PARENT + " belongs to POST /v1/programs");
		}
		return new CallRequest(exchange.decision(), exchange.workspace(), exchange.key(), program,
				turn(exchange, program != null), workKind(exchange), payload, this.callTimeoutMs);
	}

	static @Nullable ProgramId program(Exchange exchange, String header) {
		String text = exchange.header(header);
		if (text == null) {
			return null;
		}
		try {
			return ProgramId.parse(text);
		}
		catch (IllegalArgumentException ex) {
			throw RefusalException.malformed("the header " + header + " does not name a program");
		}
	}

	private static int turn(Exchange exchange, boolean isRequired) {
		String text = exchange.header(TURN);
		if (text == null && !isRequired) {
			return 0;
		}
		if (text == null || !isRequired) {
			throw RefusalException.malformed("the headers " + PROGRAM + " and " + TURN + " need each other");
		}
		try {
			int turn = Integer.parseInt(text);
			if (turn >= 1 && turn <= MAX_TURN) {
				return turn;
			}
		}
		catch (NumberFormatException ex) {
			// Reported below together with numbers out of range.
		}
		throw RefusalException.malformed("the header " + TURN + " must be a whole number from 1 to " + MAX_TURN);
	}

	private String workKind(Exchange exchange) {
		String text = exchange.header(WORK);
		if (text == null) {
			return "";
		}
		if (!this.configuration.current().workKinds().containsKey(text)) {
			throw RefusalException.malformed("the header " + WORK + " names no configured kind of work");
		}
		return text;
	}

	static @Nullable String idempotencyKey(Exchange exchange) {
		String text = exchange.header(IDEMPOTENCY_KEY);
		if (text != null && !VISIBLE_ASCII.matcher(text).matches()) {
			throw RefusalException
				.malformed("the header " + IDEMPOTENCY_KEY + " must have 1 to 200 visible ASCII characters");
		}
		return text;
	}

}
