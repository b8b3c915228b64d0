package dev.nutmegdoor.node.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntSupplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import dev.nutmegdoor.core.placement.PromptPart;

/**
 * Workload of the peak days of a deployment: the programs that arrive in each
 * availability zone according to the users' sheets.
 */
enum PeakDayWorkload {

	RTI_LAGGING(3, 9, 6, 16, 24, 231_141, 3.9, 1, 30,
			List.of(new Kind(27.6, 3, 3, 1_030, 60, 0.05, 1.9, 37, 200),
					new Kind(5.09, 10, 11, 514, 150, 0.25, 1.8, 37, 200))),

	SAUTI_TZ(3, 7, 6, 16, 24, 327_101, 4.5, 3, 32.5,
			List.of(new Kind(20.5, 3, 4, 1_030, 60, 0.05, 1.9, 46, 250),
					new Kind(6.65, 10, 11, 514, 150, 0.15, 1.8, 46, 250))),

	RTI_LAGGING_LARGE(5, 80, 14, 8, 28, 156_783, 3.9, 3, 39, List
		.of(new Kind(33.1, 3, 3, 1_030, 60, 0.05, 1.6, 37, 203), new Kind(6.11, 10, 11, 514, 150, 0.25, 1.5, 37, 203)));

	/** Number of shared prompt prefixes for each kind; each program starts with one. */
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

	final int engineReplicas;

	final int engineSlots;

	final int serviceReplicas;

	final int cacheTokens;

	final double crossingMs;

	final double clientMs;

	private final double programsPerSecond;

	private final List<Kind> kinds;

	PeakDayWorkload(int zones, int instances, int engineReplicas, int engineSlots, int serviceReplicas, int cacheTokens,
			double crossingMs, double clientMs, double programsPerSecond, List<Kind> kinds) {
		this.zones = zones;
		this.instances = instances;
		this.engineReplicas = engineReplicas;
		this.engineSlots = engineSlots;
		this.serviceReplicas = serviceReplicas;
		this.cacheTokens = cacheTokens;
		this.crossingMs = crossingMs;
		this.clientMs = clientMs;
		this.programsPerSecond = programsPerSecond;
		this.kinds = kinds;
	}

	SimulatedDeployment deployment() {
		return new SimulatedDeployment(this.zones, this.instances, this.engineReplicas, this.engineSlots,
				this.serviceReplicas, this.cacheTokens, this.crossingMs, this.clientMs, ModelledEngine.Times.USUAL,
				null, false);
	}

	/**
	 * Generates random programs.
	 * @param seed seed of the random numbers
	 * @param durationMs time in which programs arrive in milliseconds
	 * @param loadFactor multiple of the usual arrival rate
	 * @return programs in the order of their arrival
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
			programs.add(program(random, programs.size(), (long) arrivalMs, kindIndex, this.kinds.get(kindIndex),
					ModelledEngine.Times.USUAL, () -> random.nextInt(this.zones)));
		}
	}

	static Program program(UniformRandomProvider random, int number, long arrivalMs, int kindIndex, Kind kind,
			ModelledEngine.Times times, IntSupplier zone) {
		int turnCount = (int) Math.max(1, Math.round(sampleLogNormal(random, kind.meanTurns(), TURNS_SIGMA)));
		PromptPart sharedPart = new PromptPart("k" + kindIndex + "s" + random.nextInt(SHARED_PARTS), SHARED_TOKENS);
		List<Turn> turns = turns(random, kind, "p" + number, List.of(sharedPart), turnCount, true);
		double idleMs = turns.stream().mapToDouble((turn) -> turn.idleMs(kind.wayMs(), times)).sum();
		return new Program(number, kindIndex, zone.getAsInt(), arrivalMs, kind.worth(), turns,
				kind.objectivePart() * idleMs + kind.objectiveMs());
	}

	private static List<Turn> turns(UniformRandomProvider random, Kind kind, String name,
			List<PromptPart> inheritedPrompt, int turnCount, boolean canHaveSubAgents) {
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
					subAgents
						.add(turns(random, kind, name + "t" + i + "a" + agentIndex, prompt, SUB_AGENT_TURNS, false));
				}
			}
			turns.add(new Turn(List.copyOf(prompt), tokens, events * TOKENS_PER_EVENT,
					(long) sampleLogNormal(random, kind.pauseMs(), PAUSE_SIGMA), tools, subAgents));
		}
		return turns;
	}

	// The mean is that of the values, sigma the standard deviation of their logarithms.
	private static double sampleLogNormal(UniformRandomProvider random, double mean, double sigma) {
		double normal = Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
		return mean * Math.exp(sigma * normal - sigma * sigma / 2);
	}

	/**
	 * A kind of program.
	 *
	 * @param weight relative frequency among the kinds of the workload
	 * @param worth credit of a program that completes in time
	 * @param meanTurns mean number of turns
	 * @param meanTokens mean number of prompt tokens that a turn adds
	 * @param pauseMs mean pause after a turn in milliseconds
	 * @param subAgentShare probability that sub-agents run after a turn
	 * @param objectivePart proportional part of the objective of a program, in multiples
	 * of its unloaded duration
	 * @param wayMs time of a turn that is spent outside the engine in milliseconds
	 * @param objectiveMs constant part of the objective of a program in milliseconds
	 */
	record Kind(double weight, double worth, double meanTurns, double meanTokens, double pauseMs, double subAgentShare,
			double objectivePart, double wayMs, double objectiveMs) {

	}

	/**
	 * A tool that programs call.
	 *
	 * @param share probability that a turn is followed by a call of the tool
	 * @param meanMs mean processing time in milliseconds
	 * @param longestMs maximum processing time in milliseconds
	 * @param timeoutMs timeout of a call in milliseconds
	 */
	private record Tool(double share, double meanMs, double longestMs, long timeoutMs) {

	}

	/**
	 * A call of a tool.
	 *
	 * @param workMs processing time of the replica in milliseconds
	 * @param timeoutMs timeout of the call in milliseconds
	 */
	record ToolCall(int workMs, long timeoutMs) {

	}

	/**
	 * A program of a client.
	 *
	 * @param number index within the generated programs
	 * @param kind index of its kind
	 * @param zone index of the availability zone of its client
	 * @param arrivalMs time of arrival in milliseconds
	 * @param worth credit if it completes in time
	 * @param turns turns of the main agent in order
	 * @param objectiveMs duration within which it should complete in milliseconds
	 */
	record Program(int number, int kind, int zone, long arrivalMs, double worth, List<Turn> turns, double objectiveMs) {

	}

	/**
	 * A turn with the pause, tools and sub-agents that precede the next turn.
	 *
	 * @param prompt complete prompt
	 * @param newTokens number of tokens of the last part of the prompt
	 * @param answerTokens number of generated tokens
	 * @param pauseMs pause in milliseconds
	 * @param tools calls of tools that run concurrently
	 * @param subAgents turns of each sub-agent; sub-agents run concurrently
	 */
	record Turn(List<PromptPart> prompt, int newTokens, int answerTokens, long pauseMs, List<ToolCall> tools,
			List<List<Turn>> subAgents) {

		double idleMs(double wayMs, ModelledEngine.Times times) {
			double slowestTool = this.tools.stream().mapToInt(ToolCall::workMs).max().orElse(0);
			double slowestAgent = this.subAgents.stream()
				.mapToDouble((agentTurns) -> agentTurns.stream().mapToDouble((turn) -> turn.idleMs(wayMs, times)).sum())
				.max()
				.orElse(0);
			return wayMs + this.newTokens / times.prefillTokensPerMs()
					+ this.answerTokens * (times.stepMs() + times.stepPerCallMs()) + this.pauseMs + slowestTool
					+ slowestAgent;
		}

	}

}
