package dev.nutmegdoor.cli.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;

import dev.nutmegdoor.cli.Command;
import dev.nutmegdoor.cli.UsageException;

/**
 * The commands for operators.
 */
public final class OperatorCommands {

	private final Map<String, String> environment;

	private final List<Command> commands = new ArrayList<>();

	private OperatorCommands(Map<String, String> environment) {
		this.environment = environment;
	}

	/**
	 * Creates all commands.
	 * @param environment environment variables, for endpoint and token
	 * @return the commands in the order of the help
	 */
	public static List<Command> create(Map<String, String> environment) {
		OperatorCommands created = new OperatorCommands(environment);
		created.addConfiguration();
		created.addFleet();
		created.addDecisions();
		return List.copyOf(created.commands);
	}

	private void addConfiguration() {
		sheet("check", "check a sheet of workspaces, rates and priorities", List.of());
		sheet("diff", "show what loading a sheet would change", List.of());
		sheet("load", "load a sheet: all of it or nothing",
				List.of(flag("force", "load a sheet that is older than what is in force or drops many workspaces")));
		list("workspace list", "list workspaces", "workspaces", List.of("id", "ratePerSecond", "burst", "weight"));
		add("workspace show", "show a workspace", List.of("WORKSPACE"), List.of(), List.of(),
				(line) -> OperatorCall.read("workspaces/" + argument(line, 0)));
		add("key issue", "issue a key; it is shown once", List.of("WORKSPACE"), List.of(), List.of(),
				(line) -> OperatorCall.change("keys?workspace=" + argument(line, 0)));
		list("key list", "list keys without their secrets", "keys", List.of("id", "workspace", "withdrawn"));
		add("key withdraw", "withdraw a key and report which zones have confirmed", List.of("KEY-ID"), List.of(),
				List.of(), (line) -> OperatorCall.change("keys/" + argument(line, 0) + "/withdraw"));
		add("config show", "show the version in force", List.of(), List.of(), List.of(),
				(line) -> OperatorCall.read("config"));
		list("config history", "show who changed what, latest first", "config/history",
				List.of("version", "author", "timeMs", "reason"));
		add("config wait", "wait until a version is in force on all reachable instances", List.of("VERSION"), List.of(),
				List.of(), (line) -> OperatorCall.read("config/wait?version=" + argument(line, 0)));
	}

	private void addFleet() {
		list("upstream list", "list upstreams", "upstreams",
				List.of("id", "kind", "availabilityZone", "serves", "isLeaving"));
		add("upstream drain", "give an upstream no new work", List.of("UPSTREAM"), List.of(), List.of(),
				(line) -> OperatorCall.change("upstreams/" + argument(line, 0) + "/drain"));
		list("instance list", "list entry instances", "instances",
				List.of("id", "availabilityZone", "host", "port", "state"));
		add("instance drain", "drain an entry instance", List.of("INSTANCE"), List.of(), List.of(),
				(line) -> OperatorCall.change("instances/" + argument(line, 0) + "/drain"));
		add("metrics", "print the metrics of an instance", List.of(), List.of(), List.of(),
				(line) -> OperatorCall.read("metrics"));
		add("dump", "print the state of an instance", List.of(),
				List.of(value("instance", "ID", "instance to ask instead of the one at the endpoint"),
						value("part", "NAME", "only this part")),
				List.of(), OperatorCommands::dump);
	}

	private void addDecisions() {
		add("explain", "show why a request was delayed, refused or placed", List.of("DECISION"),
				List.of(flag("verify", "run the decision again on its recorded inputs and compare")), List.of(),
				(line) -> OperatorCall
					.read("decisions/" + argument(line, 0) + (line.hasOption("verify") ? "?verify=true" : "")));
		list("calls unresolved", "list calls whose outcome is unknown", "calls/unresolved",
				List.of("log", "key", "workspace", "service", "operation", "sinceMs"));
		add("calls resolve", "record what became of a call with unknown outcome", List.of("LOG", "KEY"),
				List.of(value("ran", "JSON", "the operation ran and this is its answer"),
						flag("not-run", "the operation did not run; its key may be used again")),
				List.of(), OperatorCommands::resolve);
	}

	private void sheet(String mode, String summary, List<Option> options) {
		add("sheet " + mode, summary, List.of("FILE"), options, List.of(),
				(line) -> OperatorCall.change("sheet?mode=" + mode + (line.hasOption("force") ? "&force=true" : ""),
						readFile(line.getArgList().get(0))));
	}

	private void list(String name, String summary, String path, List<String> columns) {
		add(name, summary, List.of(), List.of(), columns, (line) -> OperatorCall.read(path));
	}

	private void add(String name, String summary, List<String> arguments, List<Option> options, List<String> columns,
			OperatorCall.Builder builder) {
		this.commands.add(new OperatorCommand(name, summary, arguments, options, columns, builder, this.environment));
	}

	private static OperatorCall dump(CommandLine line) {
		List<String> query = new ArrayList<>();
		for (String option : List.of("instance", "part")) {
			if (line.hasOption(option)) {
				query.add(option + "=" + OperatorClient.encode(line.getOptionValue(option)));
			}
		}
		return OperatorCall.read("dump" + (query.isEmpty() ? "" : "?" + String.join("&", query)));
	}

	private static OperatorCall resolve(CommandLine line) {
		if (line.hasOption("ran") == line.hasOption("not-run")) {
			throw new UsageException("exactly one of --ran and --not-run is needed");
		}
		String path = "calls/resolve?log=" + argument(line, 0) + "&key=" + argument(line, 1);
		return line.hasOption("ran") ? OperatorCall.change(path, line.getOptionValue("ran"))
				: OperatorCall.change(path);
	}

	private static String argument(CommandLine line, int index) {
		return OperatorClient.encode(line.getArgList().get(index));
	}

	private static String readFile(String path) {
		try {
			return Files.readString(Path.of(path));
		}
		catch (IOException ex) {
			throw new UsageException("file " + path + " can't be read: " + ex.getMessage());
		}
	}

	private static Option flag(String name, String description) {
		return Option.builder().longOpt(name).desc(description).build();
	}

	private static Option value(String name, String argument, String description) {
		return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).build();
	}

}
