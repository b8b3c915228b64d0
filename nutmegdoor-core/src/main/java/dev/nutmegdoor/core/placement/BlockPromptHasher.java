package dev.nutmegdoor.core.placement;

import java.util.ArrayList;
import java.util.List;

import net.openhft.hashing.LongHashFunction;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.ModelCall;
import dev.nutmegdoor.core.id.ProgramId;

/**
 * Hashes a prompt in blocks of a fixed number of characters. The hash of each block is
 * seeded with that of the preceding block, the first one with the model name; a remainder
 * that is shorter than a block is not hashed.
 */
public final class BlockPromptHasher implements PromptHasher {

	/** A block holds about 512 tokens: a prompt of 110,000 tokens has 215 hashes. */
	private static final int BLOCK_CHARACTERS = 2_048;

	@Override
	public List<Long> hash(@Nullable ProgramId program, ModelCall call) {
		String text = call.messagesJson();
		List<Long> hashes = new ArrayList<>(text.length() / BLOCK_CHARACTERS);
		long hash = call.model().hashCode();
		for (int end = BLOCK_CHARACTERS; end <= text.length(); end += BLOCK_CHARACTERS) {
			hash = LongHashFunction.xx(hash).hashChars(text, end - BLOCK_CHARACTERS, BLOCK_CHARACTERS);
			hashes.add(hash);
		}
		return hashes;
	}

}
