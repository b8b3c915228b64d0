package dev.nutmegdoor.node.cluster;

import java.security.SecureRandom;

import dev.nutmegdoor.core.key.SecretSource;

/**
 * Generates secrets with the random generator of the operating system.
 */
final class SecureSecretSource implements SecretSource {

	private final SecureRandom random = new SecureRandom();

	@Override
	public void fill(byte[] bytes) {
		this.random.nextBytes(bytes);
	}

}
