package dev.nutmegdoor.standin.platform;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Decides which faults apply to a request, from a seeded generator. Safe for use by
 * several threads.
 */
final class FaultSchedule {

	private final List<PlatformFault> faults;

	private final UniformRandomProvider random;

	private final long delayMs;

	private final long jitterMs;

	FaultSchedule(PlatformStandinSettings settings) {
		this.faults = new CopyOnWriteArrayList<>(settings.faults());
		this.random = RandomSource.XO_SHI_RO_256_PP.create(settings.seed());
		this.delayMs = settings.delayMs();
		this.jitterMs = settings.jitterMs();
	}

	void add(PlatformFault fault) {
		this.faults.add(fault);
	}

	boolean isTriggered(PlatformFaultKind kind, long elapsedMs) {
		for (PlatformFault fault : this.faults) {
			if (fault.kind() == kind && fault.isActive(elapsedMs) && draw() < fault.probability()) {
				return true;
			}
		}
		return false;
	}

	long delayMs(long elapsedMs) {
		long delayMs = this.delayMs + Math.round(draw() * this.jitterMs);
		for (PlatformFault fault : this.faults) {
			if (fault.kind() == PlatformFaultKind.SLOW && fault.isActive(elapsedMs) && draw() < fault.probability()) {
				delayMs += fault.delayMs();
			}
		}
		return delayMs;
	}

	private synchronized double draw() {
		return this.random.nextDouble();
	}

}
