package dev.nutmegdoor.core.key;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;

import dev.nutmegdoor.core.distribution.LocalPersistence;

/**
 * Keeps a copy of the withdrawals in the data folder, for a restart during which neither
 * the store nor a peer is reachable.
 */
final class WithdrawalArchive {

	private static final String ENTRY_NAME = "key-withdrawals";

	private final ObjectMapper mapper = new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

	private final LocalPersistence persistence;

	WithdrawalArchive(LocalPersistence persistence) {
		this.persistence = persistence;
	}

	CompletableFuture<List<KeyWithdrawal>> load() {
		return this.persistence.load().thenApply((entries) -> {
			try {
				return this.mapper.readValue(entries.getOrDefault(ENTRY_NAME, "[]"),
						new TypeReference<List<KeyWithdrawal>>() {
						});
			}
			catch (JsonProcessingException ex) {
				// Peers and the store provide the withdrawals if the archive is corrupt.
				return List.of();
			}
		});
	}

	void save(Collection<KeyWithdrawal> withdrawals) {
		try {
			this.persistence.put(ENTRY_NAME, this.mapper.writeValueAsString(withdrawals));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("withdrawals cannot be written as JSON", ex);
		}
	}

}
