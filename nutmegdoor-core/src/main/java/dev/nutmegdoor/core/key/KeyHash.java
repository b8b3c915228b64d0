package dev.nutmegdoor.core.key;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.KeyId;

/**
 * Text form of keys and their hashes.
 */
final class KeyHash {

	/** Longest accepted key in characters; an issued one has 84. */
	private static final int MAX_KEY_CHARS = 256;

	private static final String PREFIX = "nd_";

	/** Compared with when the key is unknown, so that the time doesn't tell. */
	private static final byte[] UNKNOWN_KEY_HASH = new byte[32];

	private KeyHash() {
	}

	static String format(String id, String secret) {
		return PREFIX + id + "_" + secret;
	}

	/**
	 * Returns the identifier in a key.
	 * @param key the whole key
	 * @return the identifier, or {@code null} if the text isn't a key
	 */
	static @Nullable KeyId idOf(String key) {
		int idEnd = key.indexOf('_', PREFIX.length());
		if (key.length() > MAX_KEY_CHARS || !key.startsWith(PREFIX) || idEnd <= PREFIX.length()) {
			return null;
		}
		try {
			return new KeyId(key.substring(PREFIX.length(), idEnd));
		}
		catch (IllegalArgumentException ex) {
			return null;
		}
	}

	static String hash(String key) {
		return HexFormat.of().formatHex(digest(key));
	}

	/**
	 * Compares in a time that depends neither on the key nor on whether it is known.
	 * @param key the whole key
	 * @param storedHash the stored hash, or {@code null} if the key is unknown
	 * @return whether the key has this hash
	 */
	static boolean matches(String key, @Nullable String storedHash) {
		byte[] expected = (storedHash != null) ? HexFormat.of().parseHex(storedHash) : UNKNOWN_KEY_HASH;
		return MessageDigest.isEqual(digest(key), expected) && storedHash != null;
	}

	private static byte[] digest(String key) {
		try {
			return MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("this JDK lacks SHA-256", ex);
		}
	}

}
