package dev.nutmegdoor.cli.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.cli.UsageException;

/**
 * Where the operator API is and how to authenticate.
 *
 * @param endpoint base address, such as {@code http://127.0.0.1:7100}
 * @param token the operator's token
 */
record OperatorProfile(String endpoint, String token) {

	private static final String TOKEN_VARIABLE = "NUTMEGDOOR_TOKEN";

	private static final String ENDPOINT_VARIABLE = "NUTMEGDOOR_ENDPOINT";

	static void addOptions(Options options) {
		options.addOption(Option.builder()
			.longOpt("endpoint")
			.hasArg()
			.argName("URL")
			.desc("address of the operator API; default: profile, then " + ENDPOINT_VARIABLE)
			.build());
		options.addOption(Option.builder()
			.longOpt("profile")
			.hasArg()
			.argName("FILE")
			.desc("YAML file with the keys endpoint and token; the token can also come from " + TOKEN_VARIABLE)
			.build());
	}

	/**
	 * Resolves the profile from options, file and environment, in this order.
	 * @param line parsed options
	 * @param environment environment variables
	 * @return the profile
	 * @throws UsageException if endpoint or token is missing or the file can't be read
	 */
	static OperatorProfile resolve(CommandLine line, Map<String, String> environment) {
		JsonNode file = readFile(line.getOptionValue("profile"));
		String endpoint = first(line.getOptionValue("endpoint"), file.path("endpoint").asText(null),
				environment.get(ENDPOINT_VARIABLE));
		String token = first(file.path("token").asText(null), environment.get(TOKEN_VARIABLE), null);
		if (endpoint == null) {
			throw new UsageException("no endpoint: use --endpoint, a profile or " + ENDPOINT_VARIABLE);
		}
		if (token == null) {
			throw new UsageException("no token: use a profile or " + TOKEN_VARIABLE);
		}
		return new OperatorProfile(endpoint.endsWith("/") ? endpoint.substring(0, endpoint.length() - 1) : endpoint,
				token);
	}

	private static JsonNode readFile(@Nullable String path) {
		YAMLMapper mapper = new YAMLMapper();
		if (path == null) {
			return mapper.createObjectNode();
		}
		try {
			JsonNode node = mapper.readTree(Files.readString(Path.of(path)));
			return (node != null) ? node : mapper.createObjectNode();
		}
		catch (IOException ex) {
			throw new UsageException("profile " + path + " can't be read: " + ex.getMessage());
		}
	}

	private static @Nullable String first(@Nullable String... values) {
		for (String value : values) {
			if (value != null && !value.isBlank()) {
				return value;
			}
		}
		return null;
	}

}
