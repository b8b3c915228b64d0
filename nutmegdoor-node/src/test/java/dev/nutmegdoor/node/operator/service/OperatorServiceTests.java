package dev.nutmegdoor.node.operator.service;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.configuration.ConfigurationChange;
import dev.nutmegdoor.core.configuration.ConfigurationEdit;
import dev.nutmegdoor.core.configuration.ConfigurationSection;
import dev.nutmegdoor.node.operator.OperatorEndpoint;
import dev.nutmegdoor.node.operator.OperatorException;
import dev.nutmegdoor.node.operator.OperatorRequest;
import dev.nutmegdoor.node.sheet.SheetLoader;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

class OperatorServiceTests {

	private final SingleInstance instance = new SingleInstance(1);

	private final List<OperatorEndpoint> endpoints = endpoints();

	private List<OperatorEndpoint> endpoints() {
		List<OperatorEndpoint> all = new ArrayList<>();
		all.addAll(new ConfigurationEndpoints(this.instance.configuration, this.instance.fleet).endpoints());
		all.addAll(new KeyEndpoints(this.instance.keys).endpoints());
		all.addAll(new SheetEndpoints(new SheetLoader(this.instance.configuration, Runnable::run, 0.05), Runnable::run)
			.endpoints());
		return all;
	}

	private JsonNode call(String method, String path, Map<String, String> parameters, Map<String, List<String>> query,
			String body) {
		OperatorEndpoint endpoint = this.endpoints.stream()
			.filter((candidate) -> candidate.method().equals(method) && candidate.path().equals("/operator/v1/" + path))
			.findFirst()
			.orElseThrow();
		OperatorRequest request = new OperatorRequest("ann", parameters, query, body);
		return new ObjectMapper().valueToTree(this.instance.await(endpoint.handler().apply(request)));
	}

	private void configure() {
		this.instance.await(this.instance.configuration.change(new ConfigurationChange("ann", "test", null, List.of(
				ConfigurationEdit.merge(ConfigurationSection.WORKSPACES, "acme",
						Map.of("ratePerSecond", 5, "burst", 3)),
				ConfigurationEdit.merge(ConfigurationSection.UPSTREAMS, "u1", Map.of("kind", "SERVICE", "zone", "a",
						"host", "127.0.0.1", "port", 1, "serves", List.of("billing"), "maxConcurrentCalls", 4))))));
	}

	// Guards against fields that the command line shows and the answer lacks, and
	// against a drain that is not in force when it is reported.
	@Test
	void drainsAnUpstreamAndListsIt() {
		configure();
		JsonNode answer = call("POST", "upstreams/{id}/drain", Map.of("id", "u1"), Map.of(), "");
		assertThat(answer.path("isFailed").asBoolean(true), is(false));
		JsonNode upstream = call("GET", "upstreams", Map.of(), Map.of(), "").get(0);
		for (String column : List.of("id", "kind", "availabilityZone", "serves", "isLeaving")) {
			assertThat(column, upstream.has(column), is(true));
		}
		assertThat(upstream.path("isLeaving").asBoolean(), is(true));
		assertThat(call("GET", "config/history", Map.of(), Map.of(), "").get(0).path("author").asText(), is("ann"));
		assertThat(call("GET", "config/wait", Map.of(), Map.of("version", List.of("2")), "").path("inForce").asInt(),
				is(1));
	}

	// Guards against a key that is shown although it was not issued, and a withdrawal
	// that is reported as done although the key doesn't exist.
	@Test
	void issuesAndWithdrawsKeys() {
		configure();
		JsonNode issued = call("POST", "keys", Map.of(), Map.of("workspace", List.of("acme")), "");
		assertThat(issued.path("key").asText(), startsWith("nd_" + issued.path("id").asText() + "_"));
		JsonNode refused = call("POST", "keys", Map.of(), Map.of("workspace", List.of("ghost")), "");
		assertThat(refused.path("isFailed").asBoolean() && refused.path("key").isNull(), is(true));
		call("POST", "keys/{id}/withdraw", Map.of("id", issued.path("id").asText()), Map.of(), "");
		assertThat(call("GET", "keys", Map.of(), Map.of(), "").get(0).path("withdrawn").path("author").asText(),
				is("ann"));
		assertThat(call("POST", "keys/{id}/withdraw", Map.of("id", "ghost"), Map.of(), "").path("isFailed").asBoolean(),
				is(true));
	}

	// Guards against a check or diff that changes something, and a wrong mode that loads.
	@Test
	void loadsASheetOnlyInModeLoad() {
		String csv = "date,workspace,ratePerSecond,burst\n2026-12-04,acme,5,3\n";
		call("POST", "sheet", Map.of(), Map.of("mode", List.of("check")), csv);
		call("POST", "sheet", Map.of(), Map.of("mode", List.of("diff")), csv);
		assertThrows(OperatorException.class, () -> call("POST", "sheet", Map.of(), Map.of(), csv));
		assertThat(this.instance.configuration.version(), is(0L));
		JsonNode answer = call("POST", "sheet", Map.of(), Map.of("mode", List.of("load")), csv);
		assertThat(answer.path("outcome").asText(), is("APPLIED"));
	}

}
