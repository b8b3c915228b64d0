package dev.nutmegdoor.node.ledger;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.fake.FakeObjectStore;
import dev.nutmegdoor.core.fake.StoreFaults;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.ledger.LedgerEntry;
import dev.nutmegdoor.core.membership.DirectoryEntry;
import dev.nutmegdoor.core.membership.StoredInstanceRegistry;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.store.StoredObject;
import dev.nutmegdoor.core.time.VirtualTimerService;
import dev.nutmegdoor.node.disk.ChannelOpener;
import dev.nutmegdoor.node.disk.DiskBudget;
import dev.nutmegdoor.platform.ProcessSettings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

/**
 * Tests that this version and version 491f599 read what the other one has stored. The
 * files and objects were recorded with the code of that version.
 */
class RecordedStorageTests {

	private static final String RECORDINGS = "/dev/nutmegdoor/node/version/491f599/";

	/** Time at which the recorded log was begun. */
	private static final long START_MS = 1_700_000_000_000L;

	/** Bytes of the recorded log in front of its torn tail. */
	private static final int VALID_BYTES = 341;

	private static final LedgerEntry ONE = new LedgerEntry("w-1/program-1", "gw-a-1~7f3k", 132, 0, 60_000);

	private static final LedgerEntry TWO = new LedgerEntry("w-2/program-é", "gw-a-1~7f3k", 264, 100, 61_000);

	private static final LedgerEntry OTHER_HOLDER = new LedgerEntry("w-1/program-1", "gw-b-2~91xz", 5_000_000_000L, 17,
			60_000);

	private static final LedgerEntry ONE_LATER = new LedgerEntry("w-1/program-1", "gw-a-1~7f3k", 396, 32, 60_000);

	private static final LedgerEntry THREE = new LedgerEntry("w-3/program-3", "gw-c-1~0001", 1, 1, 62_000);

	private static byte[] recorded(String name) throws IOException {
		try (InputStream stream = Objects
			.requireNonNull(RecordedStorageTests.class.getResourceAsStream(RECORDINGS + name), name)) {
			return stream.readAllBytes();
		}
	}

	@Nested
	class LedgerLogs {

		@TempDir
		private Path data;

		private long nowMs = START_MS;

		private Path folder() {
			return this.data.resolve("ledger");
		}

		private FileLedgerLog open() throws IOException {
			return new FileLedgerLog(folder(), Runnable::run, () -> this.nowMs, ChannelOpener.DEFAULT,
					new DiskBudget(DiskBudget.UNLIMITED));
		}

		@BeforeEach
		void copyRecordedFolder() throws IOException {
			Files.createDirectories(folder());
			for (String name : List.of("ledger.log", "ledger.log.new")) {
				Files.write(folder().resolve(name), recorded("data/ledger/" + name));
			}
		}

		// Guards against budgets that are forgotten, and against a disk that passes for
		// an
		// empty one, when a replica is upgraded after a loss of power.
		@Test
		void ofOlderVersionAreReadAsTheyAre() throws IOException {
			this.nowMs += 5_000;
			try (FileLedgerLog log = open()) {
				assertThat(log.isNew(), is(false));
				assertThat(log.recovered(), contains(ONE_LATER, OTHER_HOLDER, TWO, THREE));
				assertThat(log.sizeBytes(), is((long) VALID_BYTES));
			}
		}

		// Guards against programs that never expire, or expire early, after an upgrade.
		@Test
		void ofOlderVersionKeepTimesOfExpiry() throws IOException {
			this.nowMs += 61_000 + 10_000;
			try (FileLedgerLog log = open()) {
				assertThat(log.recovered(), contains(ONE_LATER, OTHER_HOLDER, THREE));
			}
		}

		// Guards against a log that the older version can't read when an upgrade is taken
		// back: it reads a record up to the first unknown byte and cuts off the rest.
		@Test
		void haveSameBytesAsThoseOfOlderVersion() throws IOException {
			Path file = folder().resolve("ledger.log");
			Files.delete(file);
			try (FileLedgerLog log = open()) {
				log.compact(List.of(ONE, TWO)).join();
				this.nowMs += 1_000;
				log.append(List.of(OTHER_HOLDER)).join();
				this.nowMs += 1_000;
				log.append(List.of(ONE_LATER, THREE)).join();
			}
			assertThat(Files.readAllBytes(file), is(Arrays.copyOf(recorded("data/ledger/ledger.log"), VALID_BYTES)));
		}

		// Guards against a replica that looks for its log elsewhere than the older
		// version
		// and starts as on an empty disk.
		@Test
		void areFoundInFolderOfOlderVersion() throws IOException {
			InetSocketAddress store = new InetSocketAddress("127.0.0.1", 1);
			ProcessSettings settings = new ProcessSettings(new InstanceId("i-1"), new AvailabilityZone("a"),
					"127.0.0.1", null, null, null, 1, 1, List.of(), false, store, 1_000, this.data, 256, 1_000, 2_000);
			LedgerNode node = new LedgerNode(settings, 0, EventLog.NONE);
			try {
				assertThat(Files.size(folder().resolve("ledger.log")), is((long) VALID_BYTES));
			}
			finally {
				node.stop();
			}
		}

	}

	@Nested
	class Registrations {

		private static final DirectoryEntry FIRST = new DirectoryEntry(new InstanceId("i-1"), new AvailabilityZone("a"),
				"127.0.0.11", 7401, false);

		private static final DirectoryEntry SECOND = new DirectoryEntry(new InstanceId("i-2~5k"),
				new AvailabilityZone("b"), "127.0.0.12", 7402, true);

		private final ObjectMapper mapper = new ObjectMapper();

		private final VirtualTimerService timer = new VirtualTimerService(0);

		private final ObjectStore store = new FakeObjectStore(this.timer, RandomSource.XO_SHI_RO_256_PP.create(5),
				StoreFaults.NONE)
			.clientOf(new FakeHost(this.timer, new InstanceId("i"), new AvailabilityZone("a"), 0));

		private final JsonNode recorded = read();

		private JsonNode read() {
			try {
				return this.mapper.readTree(recorded("registrations.json"));
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

		private Set<String> kinds() {
			Set<String> kinds = new TreeSet<>();
			this.recorded.forEach((node) -> kinds.add(node.path("kind").asText()));
			return kinds;
		}

		private StoredInstanceRegistry registry(String kind) {
			return new StoredInstanceRegistry(this.store, kind, EventLog.NONE);
		}

		private void create(UnaryOperator<String> change) {
			this.recorded.forEach((node) -> this.store.create(node.path("kind").asText(), node.path("name").asText(),
					change.apply(node.path("value").asText())));
			this.timer.advance(1_000);
		}

		private <T> T join(CompletableFuture<T> future) {
			this.timer.advance(1_000);
			return future.join();
		}

		// Guards against ledger replicas of the older version that gateways don't find.
		@Test
		void ofOlderVersionAreListed() {
			assertThat(kinds(), hasItem(LedgerNode.REGISTRY_KIND));
			create((value) -> value);
			for (String kind : kinds()) {
				assertThat(join(registry(kind).list()), containsInAnyOrder(FIRST, SECOND));
			}
		}

		// Guards against a registration that a later version can't extend.
		@Test
		void areReadWithoutAddedFields() {
			create((value) -> value.replace("{", "{\"addedLater\":[{\"x\":1}],"));
			for (String kind : kinds()) {
				assertThat(join(registry(kind).list()), containsInAnyOrder(FIRST, SECOND));
			}
		}

		// Guards against replicas of this version that the older one leaves out of its
		// list, because a field is absent or has another type.
		@Test
		void haveFieldsOfOlderVersion() throws IOException {
			for (String kind : kinds()) {
				join(registry(kind).register(FIRST));
				join(registry(kind).register(SECOND));
			}
			for (JsonNode node : this.recorded) {
				StoredObject object = join(this.store.get(node.path("kind").asText(), node.path("name").asText()));
				JsonNode written = this.mapper.readTree(object.value());
				for (Map.Entry<String, JsonNode> field : this.mapper.readTree(node.path("value").asText())
					.properties()) {
					assertThat(node + " " + field.getKey(), written.get(field.getKey()), is(field.getValue()));
				}
			}
		}

	}

}
