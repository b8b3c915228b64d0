package dev.nutmegdoor.standin.relay;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Decides what the clients send and what the replicas do with each send.
 *
 * @param seed seed of all decisions
 * @param answers which answers are written once more
 * @param form how much of them
 * @param time when they are written once more
 * @param errors answers other than successes
 * @param requests requests of the clients
 */
record RepetitionPlan(long seed, RepeatedAnswers answers, RepetitionForm form, RepetitionTime time,
		ReplicaErrors errors, RequestMix requests) {

	static final RepetitionPlan DEFAULT = new RepetitionPlan(1, RepeatedAnswers.ALL, RepetitionForm.WHOLE,
			RepetitionTime.ANY, ReplicaErrors.PLAIN, RequestMix.USUAL);

	private static final int PERCENT = 100;

	private static final long SEED_STEP = 1_000_003;

	private static final int REPEATED_PERCENT = 30;

	private static final int MAX_WORK_MS = 10;

	/** Longer than the short deadline of the clients. */
	private static final int SLOW_MS = 200;

	private static final String NOT_EXECUTED = "Not-Executed: 1\r\n";

	RepetitionPlan with(long newSeed) {
		return new RepetitionPlan(newSeed, this.answers, this.form, this.time, this.errors, this.requests);
	}

	RepetitionPlan with(RepeatedAnswers newAnswers) {
		return new RepetitionPlan(this.seed, newAnswers, this.form, this.time, this.errors, this.requests);
	}

	RepetitionPlan with(RepetitionForm newForm) {
		return new RepetitionPlan(this.seed, this.answers, newForm, this.time, this.errors, this.requests);
	}

	RepetitionPlan with(RepetitionTime newTime) {
		return new RepetitionPlan(this.seed, this.answers, this.form, newTime, this.errors, this.requests);
	}

	RepetitionPlan with(ReplicaErrors newErrors) {
		return new RepetitionPlan(this.seed, this.answers, this.form, this.time, newErrors, this.requests);
	}

	RepetitionPlan with(RequestMix newRequests) {
		return new RepetitionPlan(this.seed, this.answers, this.form, this.time, this.errors, newRequests);
	}

	UniformRandomProvider random(String attempt, int send) {
		return RandomSource.XO_SHI_RO_256_PP.create((this.seed * SEED_STEP + attempt.hashCode()) * SEED_STEP + send);
	}

	boolean isRepeated(ReplicaAnswer answer, UniformRandomProvider random) {
		return this.answers.includes(answer.seal() != null) && random.nextInt(PERCENT) < REPEATED_PERCENT;
	}

	ReplicaAnswer answer(String attempt, String replica, int send, int firstEvent, UniformRandomProvider random) {
		String seal = replica + "." + attempt + "." + send;
		int choice = random.nextInt(PERCENT);
		if (choice < 25) {
			return (this.errors == ReplicaErrors.MISDIRECTED)
					? refusal(421, random.nextBoolean() ? NOT_EXECUTED : "", random)
					: refusal(503, NOT_EXECUTED, random);
		}
		if (choice < 45) {
			return run(500, seal, random);
		}
		if (this.errors == ReplicaErrors.ALL && choice < 60) {
			return switch (choice % 5) {
				case 0 -> refusal(429, NOT_EXECUTED, random);
				case 1 -> refusal(421, NOT_EXECUTED, random);
				case 2 -> refusal(503, "", random);
				case 3 -> run(503, seal, random);
				default -> run(429, seal, random);
			};
		}
		return (firstEvent > 0) ? stream(seal, firstEvent, random) : run(200, seal, random);
	}

	/** Returns the answer to a request without an identifier, which does not run. */
	static ReplicaAnswer withoutId(String name) {
		return new ReplicaAnswer(400, NOT_EXECUTED, null, List.of("no id in " + name), false, -1, 0);
	}

	private static ReplicaAnswer refusal(int status, String fields, UniformRandomProvider random) {
		return new ReplicaAnswer(status, fields, null, List.of("refused"), false, -1, random.nextInt(3));
	}

	private static ReplicaAnswer run(int status, String seal, UniformRandomProvider random) {
		List<String> parts = new ArrayList<>();
		for (int i = random.nextInt(4); i >= 0; i--) {
			parts.add("part " + i + " of " + seal + " " + "x".repeat(random.nextInt(600)) + "\n");
		}
		return new ReplicaAnswer(status, "", seal, parts, false, -1, workMs(random));
	}

	private static ReplicaAnswer stream(String seal, int firstEvent, UniformRandomProvider random) {
		int count = 3 + random.nextInt(4);
		List<String> events = new ArrayList<>();
		for (int i = firstEvent; i < firstEvent + count; i++) {
			events.add("id: " + i + "\ndata: " + seal + "\n\n");
		}
		int breakAfter = (random.nextInt(5) == 0) ? 1 + random.nextInt(count - 1) : -1;
		return new ReplicaAnswer(200, "", seal, events, true, breakAfter, workMs(random));
	}

	private static long workMs(UniformRandomProvider random) {
		return (random.nextInt(40) == 0) ? SLOW_MS : random.nextInt(MAX_WORK_MS);
	}

}
