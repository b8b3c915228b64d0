package dev.nutmegdoor.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.distribution.ChunkedIteration;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Fetches the configuration of a peer: as edits if the peer still has them, otherwise as
 * pages of shards.
 */
final class ConfigurationFetcher {

	/**
	 * Maximum total shard text of a page in characters, unless a single shard is larger.
	 * Parsing a page blocks the control thread, which also has to process heartbeats and
	 * lease renewals.
	 */
	private static final int MAX_PAGE_CHARS = 150_000;

	private final TimerService timer;

	private final PeerTransport transport;

	private final long requestTimeoutMs;

	ConfigurationFetcher(TimerService timer, PeerTransport transport, long requestTimeoutMs) {
		this.timer = timer;
		this.transport = transport;
		this.requestTimeoutMs = requestTimeoutMs;
	}

	/**
	 * Creates the reply to a fetch request.
	 * @param request version and shards that the peer already has
	 * @param document the active document
	 * @param recentEdits edits between the latest versions
	 * @return the edits if they are wanted and available; otherwise as many of the
	 * missing shards as fit into one page
	 */
	static ConfigurationPage createPage(ConfigurationFetch request, ConfigurationDocument document,
			RecentEdits recentEdits) {
		ConfigurationHead head = document.head();
		List<ConfigurationEdit> edits = request.areEditsWanted()
				? recentEdits.between(request.version(), document.version()) : null;
		if (edits != null) {
			return new ConfigurationPage(head.text(), edits, List.of(), true);
		}
		List<ConfigurationShardText> shards = new ArrayList<>();
		int pageChars = 0;
		for (int i = 0; i < document.shards().size(); i++) {
			ConfigurationShard shard = document.shards().get(i);
			boolean isPresentAtRequester = i < request.shards().size() && request.shards().get(i).equals(shard.name());
			if (isPresentAtRequester || shard == ConfigurationShard.EMPTY) {
				continue;
			}
			if (pageChars > 0 && pageChars + shard.text().length() > MAX_PAGE_CHARS) {
				return new ConfigurationPage(head.text(), List.of(), shards, false);
			}
			pageChars += shard.text().length();
			shards.add(new ConfigurationShardText(i, shard.text()));
		}
		return new ConfigurationPage(head.text(), List.of(), shards, true);
	}

	/**
	 * Fetches the active version of a peer.
	 * @param peer the peer
	 * @param current the active document of this instance
	 * @return the peer's document, or {@code current} if the peer's is not newer; fails
	 * with {@link dev.nutmegdoor.core.peer.PeerException}, or with
	 * {@link IllegalArgumentException} if the peer's reply is inconsistent
	 */
	CompletableFuture<ConfigurationDocument> fetch(InstanceId peer, ConfigurationDocument current) {
		return request(peer, current.version(), current.shards(), true).thenCompose((page) -> {
			ConfigurationHead head = ConfigurationHead.parse(page.head());
			if (head.version() <= current.version()) {
				return CompletableFuture.completedFuture(current);
			}
			if (!page.edits().isEmpty()) {
				// A peer that runs another release may serialize items differently, so
				// that the shard hashes don't match.
				return current.advanceTo(this.timer, page.edits(), head)
					.exceptionallyCompose((ex) -> fetchShards(peer, current.version(), current.shards()));
			}
			return merge(peer, current.version(), current.shards(), head, page);
		});
	}

	private CompletableFuture<ConfigurationDocument> fetchShards(InstanceId peer, long version,
			List<ConfigurationShard> presentShards) {
		return request(peer, version, presentShards, false)
			.thenCompose((page) -> merge(peer, version, presentShards, ConfigurationHead.parse(page.head()), page));
	}

	private CompletableFuture<ConfigurationDocument> merge(InstanceId peer, long version,
			List<ConfigurationShard> presentShards, ConfigurationHead head, ConfigurationPage page) {
		List<ConfigurationShard> merged = new ArrayList<>(presentShards);
		return ChunkedIteration
			.forEach(this.timer, page.shards(),
					(shard) -> merged.set(shard.index(),
							ConfigurationShard.verified(head.shards().get(shard.index()), shard.text())))
			.thenCompose((ignored) -> {
				if (page.isComplete()) {
					return CompletableFuture.completedFuture(assemble(peer, head, merged));
				}
				if (page.shards().isEmpty()) {
					throw new IllegalArgumentException("peer " + peer + " sent an incomplete page without shards");
				}
				return fetchShards(peer, version, merged);
			});
	}

	private static ConfigurationDocument assemble(InstanceId peer, ConfigurationHead head,
			List<ConfigurationShard> shards) {
		for (int i = 0; i < shards.size(); i++) {
			String name = head.shards().get(i);
			if (name.isEmpty()) {
				shards.set(i, ConfigurationShard.EMPTY);
			}
			else if (!shards.get(i).name().equals(name)) {
				throw new IllegalArgumentException("peer " + peer + " did not send shard " + name);
			}
		}
		return ConfigurationDocument.of(head, shards);
	}

	private CompletableFuture<ConfigurationPage> request(InstanceId peer, long version,
			List<ConfigurationShard> presentShards, boolean areEditsWanted) {
		List<String> names = presentShards.stream().map(ConfigurationShard::name).toList();
		ConfigurationFetch fetch = new ConfigurationFetch(version, names, areEditsWanted);
		return this.transport.request(peer, fetch, ConfigurationPage.class, this.requestTimeoutMs);
	}

}
