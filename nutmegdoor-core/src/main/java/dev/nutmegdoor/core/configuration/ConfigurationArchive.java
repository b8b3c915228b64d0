package dev.nutmegdoor.core.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.distribution.LocalPersistence;

/**
 * Keeps a copy of the active version in the data folder. The head is written last, so
 * that a crash leaves the previous version, the new one, or an inconsistent one that is
 * ignored on load.
 */
final class ConfigurationArchive {

	private static final String HEAD_ENTRY = "configuration-head";

	private static final String SHARD_PREFIX = "configuration-shard.";

	private final LocalPersistence persistence;

	private final Set<String> storedNames = new HashSet<>();

	ConfigurationArchive(LocalPersistence persistence) {
		this.persistence = persistence;
	}

	/**
	 * Reads the archived version.
	 * @return the document, or {@link ConfigurationDocument#EMPTY} if there is none or it
	 * is corrupt; never fails
	 */
	CompletableFuture<ConfigurationDocument> load() {
		return this.persistence.load().thenApply(this::read).exceptionally((ex) -> ConfigurationDocument.EMPTY);
	}

	void save(ConfigurationDocument document) {
		Set<String> usedNames = new HashSet<>();
		for (ConfigurationShard shard : document.shards()) {
			if (shard != ConfigurationShard.EMPTY) {
				usedNames.add(SHARD_PREFIX + shard.name());
				if (this.storedNames.add(SHARD_PREFIX + shard.name())) {
					this.persistence.put(SHARD_PREFIX + shard.name(), shard.text());
				}
			}
		}
		this.persistence.put(HEAD_ENTRY, document.head().text());
		this.storedNames.removeIf((name) -> {
			boolean isUnused = !usedNames.contains(name);
			if (isUnused) {
				this.persistence.remove(name);
			}
			return isUnused;
		});
	}

	private ConfigurationDocument read(Map<String, String> entries) {
		entries.keySet().stream().filter((name) -> name.startsWith(SHARD_PREFIX)).forEach(this.storedNames::add);
		String text = entries.get(HEAD_ENTRY);
		if (text == null) {
			return ConfigurationDocument.EMPTY;
		}
		ConfigurationHead head = ConfigurationHead.parse(text);
		List<ConfigurationShard> shards = new ArrayList<>();
		for (String name : head.shards()) {
			shards.add(ConfigurationShard.verified(name, entries.getOrDefault(SHARD_PREFIX + name, "")));
		}
		return ConfigurationDocument.of(head, shards);
	}

}
