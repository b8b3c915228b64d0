package dev.nutmegdoor.node.direct;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.configuration.CallerKey;
import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.key.Authentication;
import dev.nutmegdoor.core.key.KeyAuthenticator;

/**
 * Authenticates against the keys of the active configuration, except those withdrawn on
 * this instance.
 */
public final class ConfiguredKeyAuthenticator implements KeyAuthenticator {

	private static final String KEY_PREFIX = "nd_";

	private final ConfigurationView configuration;

	private final Set<KeyId> withdrawnKeys = ConcurrentHashMap.newKeySet();

	public ConfiguredKeyAuthenticator(ConfigurationView configuration) {
		this.configuration = configuration;
	}

	@Override
	public Authentication authenticate(String presentedKey) {
		int separator = presentedKey.indexOf('_', KEY_PREFIX.length());
		if (!presentedKey.startsWith(KEY_PREFIX) || separator <= KEY_PREFIX.length() || separator > 64) {
			return Authentication.refused(RefusalReason.UNAUTHENTICATED);
		}
		String idText = presentedKey.substring(KEY_PREFIX.length(), separator);
		if (!idText.chars().allMatch((c) -> c > ' ' && c < 0x7f && c != '/')) {
			return Authentication.refused(RefusalReason.UNAUTHENTICATED);
		}
		KeyId id = new KeyId(idText);
		CallerKey key = this.configuration.current().keys().get(id);
		if (key == null || !hasMatchingHash(presentedKey, key)) {
			return Authentication.refused(RefusalReason.UNAUTHENTICATED);
		}
		if (this.withdrawnKeys.contains(id)) {
			return Authentication.refused(RefusalReason.KEY_WITHDRAWN);
		}
		return Authentication.of(id, key.workspace());
	}

	private static boolean hasMatchingHash(String presentedKey, CallerKey key) {
		byte[] presentedHash = hash(presentedKey).getBytes(StandardCharsets.US_ASCII);
		return MessageDigest.isEqual(presentedHash, key.secretHash().getBytes(StandardCharsets.US_ASCII));
	}

	/**
	 * Returns the hash under which a key is stored.
	 * @param key complete key, including prefix and identifier
	 * @return SHA-256 digest in lower-case hexadecimal
	 */
	public static String hash(String key) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("the JDK has no SHA-256", ex);
		}
	}

	@Override
	public boolean isActive(KeyId key) {
		return !this.withdrawnKeys.contains(key) && this.configuration.current().keys().containsKey(key);
	}

	/**
	 * Withdraws a key on this instance only, until the process ends.
	 * @param key identifier of the key
	 */
	public void withdraw(KeyId key) {
		this.withdrawnKeys.add(key);
	}

}
