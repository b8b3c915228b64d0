package dev.nutmegdoor.node.cluster;

import java.security.SecureRandom;

import dev.nutmegdoor.core.key.SecretSource;

/**
 * Secrets from the operating system's generator.
 */
final class SecureSecretSource implements SecretSource {

	private final SecureRandom random = new SecureRandom();

	@Override
	public void fill(byte[] bytes) {
		this.random.nextBytes(bytes);
	}

}
