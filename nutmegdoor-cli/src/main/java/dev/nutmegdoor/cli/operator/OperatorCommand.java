package dev.nutmegdoor.cli.operator;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpMethod;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

import dev.nutmegdoor.cli.Command;
import dev.nutmegdoor.cli.Console;
import dev.nutmegdoor.cli.ExitCode;
import dev.nutmegdoor.cli.UsageException;

/**
 * A command that makes one call of the operator API and prints its answer.
 */
final class OperatorCommand implements Command {

	private final String name;

	private final String summary;

	private final List<String> arguments;

	private final List<Option> extraOptions;

	private final List<String> columns;

	private final OperatorCall.Builder builder;

	private final Map<String, String> environment;

	private final ObjectMapper mapper = new ObjectMapper();

	/**
	 * Creates a command.
	 * @param name words that select the command
	 * @param summary one line for the help
	 * @param arguments names of the required arguments
	 * @param extraOptions options besides those of every operator command
	 * @param columns columns if the answer is a list; empty prints indented JSON
	 * @param builder builds the call
	 * @param environment environment variables
	 */
	OperatorCommand(String name, String summary, List<String> arguments, List<Option> extraOptions,
			List<String> columns, OperatorCall.Builder builder, Map<String, String> environment) {
		this.name = name;
		this.summary = summary;
		this.arguments = List.copyOf(arguments);
		this.extraOptions = List.copyOf(extraOptions);
		this.columns = List.copyOf(columns);
		this.builder = builder;
		this.environment = Map.copyOf(environment);
	}

	@Override
	public String name() {
		return this.name;
	}

	@Override
	public String summary() {
		return this.summary;
	}

	@Override
	public String argumentsUsage() {
		return String.join(" ", this.arguments);
	}

	@Override
	public Options options() {
		Options options = new Options();
		OperatorProfile.addOptions(options);
		options.addOption(Option.builder().longOpt("json").desc("print JSON on one line, for scripts").build());
		this.extraOptions.forEach(options::addOption);
		return options;
	}

	@Override
	public ExitCode run(CommandLine line, Console console) {
		if (line.getArgList().size() != this.arguments.size()) {
			throw new UsageException(
					this.arguments.isEmpty() ? "no arguments are expected" : "expected arguments: " + argumentsUsage());
		}
		OperatorClient client = new OperatorClient(OperatorProfile.resolve(line, this.environment));
		OperatorCall call = this.builder.build(line);
		try {
			OperatorReply reply = client.call(call.isChange() ? HttpMethod.POST : HttpMethod.GET, call.path(),
					call.body());
			return print(reply, line.hasOption("json"), console);
		}
		catch (OperatorUnreachableException ex) {
			console.err().println("nutmegdoor: " + ex.getMessage());
			return ExitCode.UNREACHABLE;
		}
	}

	private ExitCode print(OperatorReply reply, boolean isJson, Console console) {
		JsonNode node;
		try {
			node = this.mapper.readTree(reply.text());
		}
		catch (JsonProcessingException ex) {
			console.out().print(reply.text());
			return reply.isSuccess() ? ExitCode.OK : ExitCode.FAILURE;
		}
		if (!reply.isSuccess()) {
			console.err().println("nutmegdoor: " + node.path("detail").asText("status " + reply.status()));
			return ExitCode.FAILURE;
		}
		if (isJson) {
			console.out().println(node);
		}
		else if (node.isArray() && !this.columns.isEmpty()) {
			new Table(this.columns).print(node, console.out());
		}
		else {
			console.out().println(node.toPrettyString());
		}
		boolean isFailed = node.path("isFailed").asBoolean(false);
		return isFailed ? ExitCode.FAILURE : ExitCode.OK;
	}

}
