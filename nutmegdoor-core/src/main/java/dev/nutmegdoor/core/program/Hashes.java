package dev.nutmegdoor.core.program;

import net.openhft.hashing.LongHashFunction;

import dev.nutmegdoor.core.call.CallPayload;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Hash functions that must give the same result on all instances.
 */
final class Hashes {

	private static final LongHashFunction UNSEEDED = LongHashFunction.xx();

	private static final LongHashFunction SEEDED = LongHashFunction.xx(1);

	private Hashes() {
	}

	static long ofPayload(CallPayload payload) {
		return UNSEEDED.hashChars(payload.getClass().getSimpleName() + Json.write(payload));
	}

	/**
	 * Returns the log in which calls without a program record an idempotency key.
	 * @param settings zones and number of partitions over which keys are distributed
	 * @param workspace workspace of the call
	 * @param key idempotency key
	 * @return identifier of the log; 128 bits of hash make a collision negligible
	 */
	static ProgramId keyLog(ProgramSettings settings, WorkspaceId workspace, String key) {
		String text = workspace + "/" + key;
		long first = UNSEEDED.hashChars(text);
		long second = SEEDED.hashChars(text);
		int zones = settings.keyZones().size();
		AvailabilityZone zone = settings.keyZones().get((int) Long.remainderUnsigned(first, zones));
		int partition = (int) Long.remainderUnsigned(second, settings.partitionsPerZone());
		return new ProgramId(zone, partition, "key-" + Long.toHexString(first) + "-" + Long.toHexString(second));
	}

}
