package dev.nutmegdoor.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpMethod;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.DirectoryEntry;

/**
 * Instance list over HTTP; see {@code docs/platform-api.md}.
 */
public final class HttpPlatformDirectory implements PlatformDirectory {

	private static final String INSTANCES = "/v1/instances";

	private final PlatformHttp http;

	public HttpPlatformDirectory(PlatformHttp http) {
		this.http = http;
	}

	@Override
	public CompletableFuture<List<DirectoryEntry>> list() {
		return this.http.read(INSTANCES, 0, (json) -> {
			List<DirectoryEntry> instances = new ArrayList<>();
			json.path("instances").forEach((node) -> instances.add(parse(node)));
			return instances;
		});
	}

	@Override
	public CompletableFuture<Void> register(DirectoryEntry instance) {
		String body = this.http.write(Map.of("id", instance.id(), "availabilityZone", instance.availabilityZone(),
				"host", instance.host(), "port", instance.port(), "state", instance.isLeaving() ? "leaving" : "live"));
		return change(HttpMethod.PUT, instance, body);
	}

	@Override
	public CompletableFuture<Void> unregister(DirectoryEntry instance) {
		return change(HttpMethod.DELETE, instance, null);
	}

	private CompletableFuture<Void> change(HttpMethod method, DirectoryEntry instance, @Nullable String body) {
		String uri = INSTANCES + PlatformHttp.path(instance.id().value());
		return CompletableFuture.allOf(this.http.write(method, uri, null, body, JsonNode::isObject));
	}

	private static DirectoryEntry parse(JsonNode node) {
		return new DirectoryEntry(new InstanceId(node.path("id").asText()),
				new AvailabilityZone(node.path("availabilityZone").asText()), node.path("host").asText(),
				node.path("port").asInt(), node.path("state").asText().equals("leaving"));
	}

}
