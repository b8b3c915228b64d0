package dev.nutmegdoor.node.relay;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import dev.nutmegdoor.core.placement.PromptPart;

/**
 * Load of a deployment's heaviest days: programs that arrive in each zone, as the users'
 * sheets describe them.
 */
enum PeakDayWorkload {

	RTI_LAGGING(3, 9, 24, 231_141, 3.9, 1, 30,
			List.of(new Kind(27.6, 3, 3, 1_030, 60, 0.05, 1.9, 37, 200),
					new Kind(5.09, 10, 11, 514, 150, 0.25, 1.8, 37, 200))),

	SAUTI_TZ(3, 7, 24, 327_101, 4.5, 3, 32.5, List.of(new Kind(20.5, 3, 4, 1_030, 60, 0.05, 1.9, 46, 250),
			new Kind(6.65, 10, 11, 514, 150, 0.15, 1.8, 46, 250)));

	/** Shared first parts of prompts; each program has one of them. */
	private static final int SHARED_PARTS = 3;

	private static final int SHARED_TOKENS = 2_560;

	private static final double TOKENS_SIGMA = 0.7;

	private static final double TURNS_SIGMA = 0.4;

	private static final double PAUSE_SIGMA = 0.6;

	private static final double EVENTS_SIGMA = 0.8;

	private static final double MEAN_EVENTS = 5.67;

	private static final int TOKENS_PER_EVENT = 6;

	private static final int MAX_EVENTS = 22;

	private static final int SUB_AGENT_TURNS = 2;

	private static final int SUB_AGENTS = 3;

	private static final double TOOL_SIGMA = 1;

	private static final List<Tool> TOOLS = List.of(new Tool(0.7, 78, 320, 2_000), new Tool(0.4, 312, 1_500, 6_000),
			new Tool(0.2, 208, 890, 4_000));

	final int zones;

	final int instances;

	final int serviceReplicas;

	final int cacheTokens;

	final double crossingMs;

	final double clientMs;

	private final double programsPerSecond;

	private final List<Kind> kinds;

	PeakDayWorkload(int zones, int instances, int serviceReplicas, int cacheTokens, double crossingMs, double clientMs,
			double programsPerSecond, List<Kind> kinds) {
		this.zones = zones;
		this.instances = instances;
		this.serviceReplicas = serviceReplicas;
		this.cacheTokens = cacheTokens;
		this.crossingMs = crossingMs;
		this.clientMs = clientMs;
		this.programsPerSecond = programsPerSecond;
		this.kinds = kinds;
	}

	/**
	 * Draws the programs of a day.
	 * @param seed seed of the day
	 * @param durationMs time in which programs arrive in milliseconds
	 * @param loadFactor times the usual number of programs
	 * @return the programs in the order of their arrival
	 */
	List<Program> programs(long seed, long durationMs, double loadFactor) {
		UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
		double totalWeight = this.kinds.stream().mapToDouble(Kind::weight).sum();
		List<Program> programs = new ArrayList<>();
		double arrivalMs = 0;
		while (true) {
			arrivalMs += -Math.log(1 - random.nextDouble()) * 1_000 / (this.programsPerSecond * loadFactor);
			if (arrivalMs >= durationMs) {
				return programs;
			}
			double remainingWeight = random.nextDouble() * totalWeight;
			int kindIndex = 0;
			while (kindIndex < this.kinds.size() - 1 && remainingWeight >= this.kinds.get(kindIndex).weight()) {
				remainingWeight -= this.kinds.get(kindIndex++).weight();
			}
			programs.add(program(random, programs.size(), (long) arrivalMs, kindIndex));
		}
	}

	private Program program(UniformRandomProvider random, int number, long arrivalMs, int kindIndex) {
		Kind kind = this.kinds.get(kindIndex);
		int turnCount = (int) Math.max(1, Math.round(sampleLogNormal(random, kind.meanTurns(), TURNS_SIGMA)));
		PromptPart sharedPart = new PromptPart("k" + kindIndex + "s" + random.nextInt(SHARED_PARTS), SHARED_TOKENS);
		List<Turn> turns = turns(random, kind, "p" + number, List.of(sharedPart), turnCount, true);
		double idleMs = turns.stream().mapToDouble((turn) -> turn.idleMs(kind.wayMs())).sum();
		return new Program(number, kindIndex, random.nextInt(this.zones), arrivalMs, kind.worth(), turns,
				kind.objectivePart() * idleMs + kind.objectiveMs());
	}

	private static List<Turn> turns(UniformRandomProvider random, Kind kind, String name, List<PromptPart> inheritedPrompt,
			int turnCount, boolean canHaveSubAgents) {
		List<Turn> turns = new ArrayList<>();
		List<PromptPart> prompt = new ArrayList<>(inheritedPrompt);
		for (int i = 0; i < turnCount; i++) {
			int tokens = (int) Math.max(1, sampleLogNormal(random, kind.meanTokens(), TOKENS_SIGMA));
			prompt.add(new PromptPart(name + "t" + i, tokens));
			int events = (int) Math.max(1, Math.min(MAX_EVENTS, sampleLogNormal(random, MEAN_EVENTS, EVENTS_SIGMA)));
			List<ToolCall> tools = new ArrayList<>();
			for (Tool tool : TOOLS) {
				if (random.nextDouble() < tool.share()) {
					double workMs = Math.min(tool.longestMs(), sampleLogNormal(random, tool.meanMs(), TOOL_SIGMA));
					tools.add(new ToolCall((int) Math.max(1, workMs), tool.timeoutMs()));
				}
			}
			List<List<Turn>> subAgents = new ArrayList<>();
			if (canHaveSubAgents && random.nextDouble() < kind.subAgentShare()) {
				for (int agentIndex = 0; agentIndex < SUB_AGENTS; agentIndex++) {
					subAgents.add(turns(random, kind, name + "t" + i + "a" + agentIndex, prompt, SUB_AGENT_TURNS, false));
				}
			}
			turns.add(new Turn(List.copyOf(prompt), tokens, events * TOKENS_PER_EVENT,
					(long) sampleLogNormal(random, kind.pauseMs(), PAUSE_SIGMA), tools, subAgents));
		}
		return turns;
	}

	// Draws from a log-normal distribution with the given mean.
	private static double sampleLogNormal(UniformRandomProvider random, double mean, double sigma) {
		double normal = Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
		return mean * Math.exp(sigma * normal - sigma * sigma / 2);
	}

	/**
	 * A kind of program.
	 *
	 * @param weight share among the programs
	 * @param worth credit of a program that is finished in time
	 * @param meanTurns turns
	 * @param meanTokens prompt tokens that a turn adds
	 * @param pauseMs pause after a turn in milliseconds
	 * @param subAgentShare share of turns that sub-agents follow
	 * @param objectivePart times its idle time that a program may take
	 * @param wayMs time of a turn that is no engine's in milliseconds
	 * @param objectiveMs time added to a program's objective in milliseconds
	 */
	record Kind(double weight, double worth, double meanTurns, double meanTokens, double pauseMs, double subAgentShare,
			double objectivePart, double wayMs, double objectiveMs) {

	}

	/**
	 * A tool.
	 *
	 * @param share chance that a pause has a call of it
	 * @param meanMs mean work in milliseconds
	 * @param longestMs longest work in milliseconds
	 * @param timeoutMs time that a call of it may take in milliseconds
	 */
	private record Tool(double share, double meanMs, double longestMs, long timeoutMs) {

	}

	/**
	 * A call of a tool.
	 *
	 * @param workMs work of the replica in milliseconds
	 * @param timeoutMs time that the call may take in milliseconds
	 */
	record ToolCall(int workMs, long timeoutMs) {

	}

	/**
	 * A program.
	 *
	 * @param number number within the day
	 * @param kind index of its kind
	 * @param zone index of its clients' zone
	 * @param arrivalMs time of arrival
	 * @param worth credit if it is finished in time
	 * @param turns its turns
	 * @param objectiveMs time in which it should be finished in milliseconds
	 */
	record Program(int number, int kind, int zone, long arrivalMs, double worth, List<Turn> turns, double objectiveMs) {

	}

	/**
	 * A turn and what follows it before the next one.
	 *
	 * @param prompt whole prompt
	 * @param newTokens tokens of its last part
	 * @param answerTokens tokens generated
	 * @param pauseMs pause in milliseconds
	 * @param tools calls of tools that run at the same time
	 * @param subAgents lines of turns that run at the same time
	 */
	record Turn(List<PromptPart> prompt, int newTokens, int answerTokens, long pauseMs, List<ToolCall> tools,
			List<List<Turn>> subAgents) {

		double idleMs(double wayMs) {
			double slowestTool = this.tools.stream().mapToInt(ToolCall::workMs).max().orElse(0);
			double slowestAgent = this.subAgents.stream()
				.mapToDouble((agentTurns) -> agentTurns.stream().mapToDouble((turn) -> turn.idleMs(wayMs)).sum())
				.max()
				.orElse(0);
			return wayMs + this.newTokens / ModelledEngine.PREFILL_TOKENS_PER_MS
					+ this.answerTokens * (ModelledEngine.STEP_MS + ModelledEngine.STEP_PER_CALL_MS) + this.pauseMs
					+ slowestTool + slowestAgent;
		}

	}

}
