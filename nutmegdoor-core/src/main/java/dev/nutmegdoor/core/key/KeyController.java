package dev.nutmegdoor.core.key;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.configuration.CallerKey;
import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.ConfigurationChange;
import dev.nutmegdoor.core.configuration.ConfigurationController;
import dev.nutmegdoor.core.configuration.ConfigurationEdit;
import dev.nutmegdoor.core.configuration.ConfigurationSection;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.time.Subscription;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Authenticates callers, issues and withdraws keys, and ends the streams of keys that are
 * withdrawn or removed. Methods must be called on the control thread unless they or
 * {@link KeyAuthenticator} say otherwise.
 */
public final class KeyController implements KeyAuthenticator {

	private static final int ID_BYTES = 8;

	private static final int SECRET_BYTES = 32;

	private final ConfigurationController configuration;

	private final WithdrawalController withdrawals;

	private final SecretSource secrets;

	private final TimerService timer;

	private final InvariantRegistry invariants;

	private final KeyStreams streams = new KeyStreams();

	public KeyController(ConfigurationController configuration, WithdrawalController withdrawals, SecretSource secrets,
			TimerService timer, InvariantRegistry invariants) {
		this.configuration = configuration;
		this.withdrawals = withdrawals;
		this.secrets = secrets;
		this.timer = timer;
		this.invariants = invariants;
		withdrawals.subscribe((withdrawal) -> endStreams(withdrawal.key()));
		configuration.subscribe(this::endStreamsOfRemovedKeys);
	}

	@Override
	public Authentication authenticate(String presentedKey) {
		KeyId id = KeyHash.idOf(presentedKey);
		if (id == null) {
			return Authentication.refused(RefusalReason.UNAUTHENTICATED);
		}
		CallerKey key = this.configuration.current().keys().get(id);
		boolean isSecretValid = KeyHash.matches(presentedKey, (key != null) ? key.secretHash() : null);
		if (!isSecretValid || key == null) {
			return Authentication.refused(RefusalReason.UNAUTHENTICATED);
		}
		if (this.withdrawals.isWithdrawn(id)) {
			return Authentication.refused(RefusalReason.KEY_WITHDRAWN);
		}
		if (this.withdrawals.isIsolated()) {
			return Authentication.refused(RefusalReason.KEY_STATE_UNKNOWN);
		}
		return Authentication.of(id, key.workspace());
	}

	@Override
	public boolean isActive(KeyId key) {
		return this.configuration.current().keys().containsKey(key) && !this.withdrawals.isWithdrawn(key);
	}

	/**
	 * Registers a running stream; may be called from any thread.
	 * @param key key with which the stream was started
	 * @param endStream ends the stream with a final error event; called when the key is
	 * withdrawn or removed, or immediately if it already is
	 * @return a subscription to cancel when the stream has ended
	 */
	public Subscription openStream(KeyId key, Runnable endStream) {
		Subscription subscription = this.streams.open(key, endStream);
		if (!isActive(key)) {
			endStream.run();
		}
		return subscription;
	}

	/**
	 * Issues a key and adds its hash to the configuration.
	 * @param workspace workspace of the key
	 * @param author operator that requested the key
	 * @return the key, which cannot be read again later, and the result of the change
	 */
	public CompletableFuture<IssuedKey> issue(WorkspaceId workspace, String author) {
		String id = randomHex(ID_BYTES);
		String key = KeyHash.format(id, randomHex(SECRET_BYTES));
		ConfigurationEdit edit = ConfigurationEdit.merge(ConfigurationSection.KEYS, id,
				Map.of("workspace", workspace.value(), "secretHash", KeyHash.hash(key)));
		ConfigurationChange change = new ConfigurationChange(author, "issue key " + id, null, List.of(edit));
		return this.configuration.change(change)
			.thenApply((result) -> new IssuedKey(new KeyId(id), result.outcome().isSuccessful() ? key : null, result));
	}

	/**
	 * Lists keys, including withdrawn ones.
	 * @param workspace workspace whose keys are listed, or {@code null} for all keys and
	 * withdrawals
	 * @return the keys sorted by identifier
	 */
	public List<KeyStatus> list(@Nullable WorkspaceId workspace) {
		List<KeyStatus> statuses = new ArrayList<>();
		for (CallerKey key : this.configuration.current().keys().values()) {
			if (workspace == null || key.workspace().equals(workspace)) {
				statuses.add(new KeyStatus(key.id(), key.workspace(), this.withdrawals.find(key.id())));
			}
		}
		if (workspace == null) {
			this.withdrawals.all()
				.stream()
				.filter((withdrawal) -> !this.configuration.current().keys().containsKey(withdrawal.key()))
				.forEach((withdrawal) -> statuses.add(new KeyStatus(withdrawal.key(), null, withdrawal)));
		}
		statuses.sort((first, second) -> first.id().compareTo(second.id()));
		return statuses;
	}

	/**
	 * Withdraws a key permanently; does not require the store.
	 * @param key identifier of the key
	 * @param author operator that withdraws the key
	 * @param reason free text of the operator
	 * @return which availability zones have confirmed and which were unreachable
	 */
	public CompletableFuture<WithdrawalResult> withdraw(KeyId key, String author, String reason) {
		return this.withdrawals.withdraw(key, author, reason, this.configuration.current().keys().containsKey(key));
	}

	public KeyDump dump() {
		return this.withdrawals.dump(this.streams.count());
	}

	private void endStreamsOfRemovedKeys(Configuration current) {
		for (KeyId key : this.streams.keys()) {
			if (!current.keys().containsKey(key)) {
				endStreams(key);
			}
		}
	}

	private void endStreams(KeyId key) {
		this.streams.end(key);
		this.timer.schedule(WithdrawalController.MAX_PROPAGATION_MS,
				() -> this.invariants.check(Invariant.KEY_WITHDRAWAL, !this.streams.keys().contains(key),
						() -> "a stream of withdrawn key " + key + " still runs"));
	}

	private String randomHex(int byteCount) {
		byte[] bytes = new byte[byteCount];
		this.secrets.fill(bytes);
		return HexFormat.of().formatHex(bytes);
	}

}
