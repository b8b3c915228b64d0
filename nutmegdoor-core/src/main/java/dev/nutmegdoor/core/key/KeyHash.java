package dev.nutmegdoor.core.key;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.KeyId;

/**
 * Formats, parses and hashes keys.
 */
final class KeyHash {

	/** Maximum length of an accepted key in characters; issued keys have 84. */
	private static final int MAX_KEY_CHARS = 256;

	private static final String PREFIX = "nd_";

	/**
	 * Compared with the hash of an unknown key, so that the response time does not reveal
	 * whether a key exists.
	 */
	private static final byte[] UNKNOWN_KEY_HASH = new byte[32];

	private KeyHash() {
	}

	static String format(String id, String secret) {
		return PREFIX + id + "_" + secret;
	}

	/**
	 * Extracts the identifier from a key.
	 * @param key the complete key
	 * @return the identifier, or {@code null} if the text is not a well-formed key
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
	 * Compares the hash of a key with the stored one in constant time, also if the key is
	 * unknown.
	 * @param key the complete key
	 * @param storedHash SHA-256 in hexadecimal, or {@code null} if the key is unknown
	 * @return whether the key is known and has this hash
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
