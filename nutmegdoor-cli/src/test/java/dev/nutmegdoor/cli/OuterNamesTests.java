package dev.nutmegdoor.cli;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import com.fasterxml.jackson.annotation.JsonGetter;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.call.ModelCall;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.explain.DecisionKind;
import dev.nutmegdoor.core.lease.LeaseRecord;
import dev.nutmegdoor.core.ledger.LedgerMessages;
import dev.nutmegdoor.core.peer.PeerMessage;
import dev.nutmegdoor.core.program.PartitionRecord;
import dev.nutmegdoor.experiment.soak.FaultKind;
import dev.nutmegdoor.node.operator.OperatorServer;
import dev.nutmegdoor.platform.HttpObjectStore;
import dev.nutmegdoor.protocol.FrameCodec;
import dev.nutmegdoor.standin.http.EngineStandin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

class OuterNamesTests {

	private static final String LIST = "outer-names.txt";

	private final OuterNames names = new OuterNames();

	private static List<String> listLines() throws IOException {
		try (InputStream stream = OuterNamesTests.class.getResourceAsStream(LIST)) {
			return new String(stream.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
		}
	}

	private static Path writeActual(List<String> lines, List<OuterNameRow> rows) throws IOException {
		List<String> text = new ArrayList<>(lines.stream().filter((line) -> line.startsWith("#")).toList());
		rows.forEach((row) -> text.add(row.toString()));
		Path file = OuterNames.location(OuterNamesTests.class).resolveSibling("outer-names.actual.txt");
		return Files.write(file, text);
	}

	@Nested
	class MainClasses {

		// Guards against a rename that changes what is sent, stored, dumped or printed.
		@Test
		void haveExactlyTheNamesOfTheList() throws IOException {
			List<String> lines = listLines();
			List<OuterNameRow> expected = lines.stream()
				.filter((line) -> !line.startsWith("#") && !line.isBlank())
				.map(OuterNameRow::parse)
				.sorted(OuterNames.ORDER)
				.toList();
			List<OuterNameRow> actual = OuterNamesTests.this.names.rows(OuterNames.mainClasses(), Commands.all());
			OuterNamesDifference difference = new OuterNamesDifference(expected, actual);
			if (!difference.isEmpty()) {
				throw new AssertionError(difference + "the names as they are now: " + writeActual(lines, actual));
			}
			assertThat(actual, is(expected));
		}

		// Guards against a scan that misses a module, a folder or an archive and compares
		// nothing.
		@Test
		void areFoundInAllModules() throws IOException {
			List<Class<?>> classes = OuterNames.mainClasses();
			assertThat(classes, hasItems(ModelCall.class, FrameCodec.class, HttpObjectStore.class, OperatorServer.class,
					EngineStandin.class, FaultKind.class, Main.class));
			for (Class<? extends PeerMessage> type : LedgerMessages.types()) {
				assertThat(classes, hasItem(type));
			}
			Set<Path> locations = classes.stream().map(OuterNames::location).collect(Collectors.toSet());
			assertThat(locations, not(hasItem(OuterNames.location(OuterNamesTests.class))));
			assertThat(Set.copyOf(classes).size(), is(classes.size()));
		}

		// Guards against a scan that finds classes but no rows for a kind of them.
		@Test
		void haveRowsOfEveryKind() throws IOException {
			List<OuterNameRow> rows = OuterNamesTests.this.names.rows(OuterNames.mainClasses(), Commands.all());
			Map<OuterNameRow.Kind, List<String>> keys = rows.stream()
				.collect(Collectors.groupingBy(OuterNameRow::kind,
						Collectors.mapping(OuterNameRow::key, Collectors.toList())));
			assertThat(keys.get(OuterNameRow.Kind.MAIN), contains(Main.class.getName()));
			assertThat(keys.get(OuterNameRow.Kind.COMMAND), hasItems("gateway", "key issue"));
			assertThat(keys.get(OuterNameRow.Kind.MESSAGE), hasItems("LedgerReserve", "LedgerAnswer"));
			assertThat(keys.get(OuterNameRow.Kind.PAYLOAD), hasItems("ModelCall", "RelayedCall", "ServiceCall"));
			assertThat(keys.get(OuterNameRow.Kind.RECORD),
					hasItems(LeaseRecord.class.getSimpleName(), PartitionRecord.class.getSimpleName()));
			assertThat(keys.get(OuterNameRow.Kind.ENUM),
					hasItems(RefusalReason.class.getSimpleName(), DecisionKind.class.getSimpleName()));
		}

	}

	@Nested
	class Properties {

		// Guards against a list of the names in the code instead of those that are
		// written.
		@Test
		void areThoseThatJacksonWrites() {
			assertThat(OuterNamesTests.this.names.propertyNames(Plain.class), contains("first", "second"));
			assertThat(OuterNamesTests.this.names.propertyNames(Renamed.class), contains("first", "changed"));
			assertThat(OuterNamesTests.this.names.propertyNames(Kept.class), contains("first", "second"));
		}

		// Guards against an attribute that takes a name from the writer or the reader
		// only.
		@Test
		void tellWhatIsOnlyWrittenOrRead() {
			assertThat(OuterNamesTests.this.names.propertyNames(OneWay.class),
					contains("first", "isThird (only written)", "second (only read)"));
		}

		// Guards against a rename inside a list or map of a message that no row shows.
		@Test
		void includeThoseOfNestedTypes() {
			assertThat(OuterNamesTests.this.names.propertyPaths(Outer.class), contains("one", "one.first", "one.second",
					"list", "list[].first", "list[].second", "map", "map{}[].first", "map{}[].second", "self"));
		}

	}

	@Nested
	class Difference {

		// Guards against a failure that doesn't say which name to restore and how.
		@Test
		void namesWhatIsGoneAndAdded() {
			String text = difference("message A: x, y", "message A: x, z");
			assertThat(text, containsString("changed: message A: gone [y], added [z]"));
			assertThat(text, containsString("@JsonProperty"));
			assertThat(difference("enum E: ONE, TWO", "enum E: ONE, DUE"), containsString("gone [TWO], added [DUE]"));
		}

		// Guards against the loss of an outer name as the row of a renamed class is
		// replaced.
		@Test
		void tellsAKeyThatMayChangeFromOneThatMustStay() {
			assertThat(difference("record A: x", "record B: x"), containsString("change only the key"));
			assertThat(difference("message A: x", "message B: x"), containsString("the outer name must stay"));
		}

		// Guards against a list that becomes incomplete as types are added, or keeps rows
		// of nothing.
		@Test
		void includesWholeRows() {
			assertThat(difference("record A: x", "enum B: Y"), containsString("gone:    record A: x"));
			assertThat(difference("record A: x", "enum B: Y"), containsString("new:     enum B: Y"));
		}

		// Guards against a change of what is hashed that changes no name.
		@Test
		void includesTheOrder() {
			assertThat(difference("payload A: x, y", "payload A: y, x"), containsString("order was [x, y], is [y, x]"));
		}

		// Guards against a pass for one of two rows with the same key and names.
		@Test
		void countsEqualRows() {
			List<OuterNameRow> one = List.of(OuterNameRow.parse("record A: x"));
			List<OuterNameRow> two = List.of(OuterNameRow.parse("record A: x"), OuterNameRow.parse("record A: x"));
			assertThat(new OuterNamesDifference(two, one).isEmpty(), is(false));
			assertThat(new OuterNamesDifference(one, two).isEmpty(), is(false));
			assertThat(new OuterNamesDifference(two, two).isEmpty(), is(true));
		}

		private String difference(String expected, String actual) {
			return new OuterNamesDifference(List.of(OuterNameRow.parse(expected)), List.of(OuterNameRow.parse(actual)))
				.toString();
		}

	}

	private record Plain(int first, int second) {

	}

	private record Renamed(int first, int changed) {

	}

	private record Kept(int first, @JsonProperty("second") int changed) {

	}

	private record OneWay(int first, @JsonProperty(access = JsonProperty.Access.WRITE_ONLY) int second) {

		@JsonGetter("isThird")
		boolean isThird() {
			return this.first > this.second;
		}

	}

	private record Outer(Plain one, List<Plain> list, Map<String, List<Plain>> map, Outer self) {

	}

}
