package dev.nutmegdoor.node.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;

import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.configuration.ProgramBudget;
import dev.nutmegdoor.core.configuration.Workspace;
import dev.nutmegdoor.core.id.ProgramId;

/**
 * Opens and closes programs: {@code POST /v1/programs} and {@code DELETE
 * /v1/programs/{id}}.
 */
final class ProgramRoute implements Route {

	private static final String PATH = "/v1/programs";

	private final BodyReader bodyReader;

	private final ProgramGateway programs;

	private final ControlBridge control;

	private final HttpResponses responses;

	private final ConfigurationView configuration;

	ProgramRoute(BodyReader bodyReader, ProgramGateway programs, ControlBridge control, HttpResponses responses,
			ConfigurationView configuration) {
		this.bodyReader = bodyReader;
		this.programs = programs;
		this.control = control;
		this.responses = responses;
		this.configuration = configuration;
	}

	@Override
	public boolean matches(String method, String path) {
		return (method.equals("POST") && path.equals(PATH)) || (method.equals("DELETE") && path.startsWith(PATH + "/"));
	}

	@Override
	public Mono<Void> run(Exchange exchange) {
		return exchange.method().equals("POST") ? open(exchange) : close(exchange);
	}

	private Mono<Void> open(Exchange exchange) {
		ProgramId parent = CallHeaders.program(exchange, CallHeaders.PARENT);
		return this.bodyReader.read(exchange).flatMap((body) -> {
			ProgramBudget budget = budgetOf(exchange, body);
			return this.control.call(exchange,
					() -> this.programs.open(exchange.decision(), exchange.workspace(), parent, budget));
		})
			.flatMap((id) -> this.responses.json(exchange, 201,
					JsonNodeFactory.instance.objectNode().put("id", id.toString()).toString()));
	}

	private Mono<Void> close(Exchange exchange) {
		ProgramId id;
		try {
			id = ProgramId.parse(exchange.path().substring(PATH.length() + 1));
		}
		catch (IllegalArgumentException ex) {
			return Mono.error(RefusalException.malformed("the path does not name a program"));
		}
		return this.control
			.call(exchange,
					() -> this.programs.close(exchange.decision(), exchange.workspace(), id).thenApply((closed) -> id))
			.flatMap((closed) -> this.responses.json(exchange, 200,
					JsonNodeFactory.instance.objectNode().put("id", id.toString()).put("state", "closed").toString()));
	}

	private @Nullable ProgramBudget budgetOf(Exchange exchange, ObjectNode body) {
		JsonNode budget = body.get("budget");
		Workspace workspace = this.configuration.current().workspaces().get(exchange.workspace());
		if (budget == null || workspace == null) {
			return null;
		}
		if (!budget.isObject()) {
			throw RefusalException.malformed("budget: an object is expected");
		}
		ProgramBudget maximum = workspace.budget();
		return new ProgramBudget(boundedField(budget, "maxTokens", maximum.maxTokens()),
				(int) boundedField(budget, "maxCalls", maximum.maxCalls()),
				boundedField(budget, "maxDurationMs", maximum.maxDurationMs()),
				(int) boundedField(budget, "maxDepth", maximum.maxDepth()));
	}

	private static long boundedField(JsonNode budget, String name, long maximum) {
		JsonNode value = budget.path(name);
		if (value.isMissingNode()) {
			return maximum;
		}
		if (!value.canConvertToLong() || !value.isIntegralNumber() || value.longValue() < 0
				|| value.longValue() > maximum) {
			throw RefusalException
				.malformed("budget." + name + ": a whole number from 0 to the workspace's " + maximum + " is expected");
		}
		return value.longValue();
	}

}
