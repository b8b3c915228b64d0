package dev.nutmegdoor.cli.operator;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import org.apache.commons.cli.DefaultParser;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

import dev.nutmegdoor.cli.Command;
import dev.nutmegdoor.cli.Console;
import dev.nutmegdoor.cli.ExitCode;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

class OperatorCommandTests {

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	private DisposableServer server;

	@BeforeEach
	void start() {
		this.server = HttpServer.create()
			.host("127.0.0.1")
			.port(0)
			.route((routes) -> routes
				.get("/operator/v1/workspaces",
						(request, response) -> response.sendString(
								Mono.just("[{\"id\":\"w-1\",\"ratePerSecond\":5.0,\"burst\":10,\"weight\":1}]")))
				.post("/operator/v1/keys/{id}/withdraw",
						(request, response) -> response.status(404)
							.sendString(Mono.just("{\"detail\":\"there is no key " + request.param("id") + "\"}"))))
			.bindNow();
	}

	@AfterEach
	void stop() {
		this.server.disposeNow();
	}

	private ExitCode run(String name, String endpoint, String... arguments) throws Exception {
		Command command = OperatorCommands.create(Map.of("NUTMEGDOOR_TOKEN", "t", "NUTMEGDOOR_ENDPOINT", endpoint))
			.stream()
			.filter((candidate) -> candidate.name().equals(name))
			.findFirst()
			.orElseThrow();
		Console console = new Console(new PrintStream(this.out, true, StandardCharsets.UTF_8),
				new PrintStream(this.err, true, StandardCharsets.UTF_8));
		return command.run(new DefaultParser().parse(command.options(), arguments), console);
	}

	private String endpoint() {
		return "http://127.0.0.1:" + this.server.port();
	}

	// Guards against lists that people can't read.
	@Test
	void printsListsAsTables() throws Exception {
		assertThat(run("workspace list", endpoint()), is(ExitCode.OK));
		assertThat(this.out.toString(StandardCharsets.UTF_8).lines().toList(),
				is(List.of("ID   RATEPERSECOND  BURST  WEIGHT", "w-1  5.0            10     1")));
	}

	// Guards against a refused change that a script takes for done.
	@Test
	void reportsARefusedChangeWithItsReason() throws Exception {
		assertThat(run("key withdraw", endpoint(), "k-9"), is(ExitCode.FAILURE));
		assertThat(this.err.toString(StandardCharsets.UTF_8), containsString("there is no key k-9"));
	}

	// Guards against a stack trace in place of the address that can't be reached.
	@Test
	void namesAnEndpointThatCannotBeReached() throws Exception {
		assertThat(run("workspace list", "http://127.0.0.1:1"), is(ExitCode.UNREACHABLE));
		assertThat(this.err.toString(StandardCharsets.UTF_8), containsString("http://127.0.0.1:1 can't be reached"));
	}

}
