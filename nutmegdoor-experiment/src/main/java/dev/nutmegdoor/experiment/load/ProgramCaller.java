package dev.nutmegdoor.experiment.load;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.standin.http.EngineStandin;

/**
 * Runs one program: opens it, takes its turns with tool pauses and sub-agents, carries
 * out its final operations and closes it.
 */
final class ProgramCaller {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final long BUDGET_TOKENS = 200_000;

	/**
	 * Share of programs after which the caller tries to use another workspace's program.
	 */
	private static final double INTRUSION_FRACTION = 0.2;

	private final LoadContext context;

	private final DemoWorkspace workspace;

	private final ProgramShape shape;

	private final UniformRandomProvider random;

	private final List<ProgramId> opened = new ArrayList<>();

	private @Nullable InetSocketAddress pinned;

	private long pausedNs;

	private int cacheableTokens;

	ProgramCaller(LoadContext context, DemoWorkspace workspace, ProgramShape shape, UniformRandomProvider random) {
		this.context = context;
		this.workspace = workspace;
		this.shape = shape;
		this.random = random;
	}

	/**
	 * Runs the program.
	 * @return identifiers of the program and its sub-agents, if they were closed
	 * @throws InterruptedException if the run ends
	 */
	List<ProgramId> run() throws InterruptedException {
		this.pinned = this.context.isProgramPinned() ? this.context.nextAddress() : null;
		long startNs = System.nanoTime();
		ProgramId program = open(null);
		if (program == null) {
			this.context.measures().abandoned();
			return List.of();
		}
		boolean isFinished = runTurns(program);
		long endNs = System.nanoTime();
		if (isFinished) {
			this.context.measures()
				.program(this.workspace.id(), this.shape.workKind(), endNs - startNs, endNs - startNs - this.pausedNs);
		}
		else {
			this.context.measures().abandoned();
		}
		accessForeignProgram(program);
		return close(program) ? this.opened : List.of();
	}

	private boolean runTurns(ProgramId program) throws InterruptedException {
		int turn = 1;
		String owner = program.toString();
		for (int i = 1; i <= this.shape.turns(); i++) {
			if (!takeTurn(program, turn++, owner, i)) {
				return false;
			}
			if (i == 1 && this.shape.hasSubAgent() && !runSubAgent(program)) {
				return false;
			}
			if (i < this.shape.turns()) {
				pause();
				OperationShape tool = this.shape.tool();
				if (tool != null && !operate(tool, program, turn++)) {
					return false;
				}
			}
		}
		for (OperationShape operation : this.shape.finalOperations()) {
			if (!operate(operation, program, turn++)) {
				return false;
			}
		}
		return true;
	}

	private void pause() throws InterruptedException {
		double drawn = -Math.log(1 - this.random.nextDouble()) * this.shape.meanPauseMs();
		long beforeNs = System.nanoTime();
		Thread.sleep(Math.round(Math.min(drawn, 10.0 * this.shape.meanPauseMs())));
		this.pausedNs += System.nanoTime() - beforeNs;
	}

	private @Nullable ProgramId open(@Nullable ProgramId parent) throws InterruptedException {
		CallerRequest request = CallerRequest.of("POST", "/v1/programs", this.workspace.key(),
				"{\"budget\":{\"maxTokens\":" + BUDGET_TOKENS + "}}");
		if (parent != null) {
			request = request.with("Nutmegdoor-Parent", parent.toString());
		}
		CallOutcome outcome = this.context.send(this.workspace, this.pinned, request, () -> false);
		if (!outcome.isSuccess()) {
			return null;
		}
		ProgramId id = ProgramId.parse(parse(outcome.text()).path("id").asText());
		this.context.watch().opened(id, BUDGET_TOKENS);
		this.opened.add(id);
		return id;
	}

	private boolean close(ProgramId program) throws InterruptedException {
		CallerRequest request = CallerRequest.of("DELETE", "/v1/programs/" + program, this.workspace.key(), "");
		return this.context.send(this.workspace, this.pinned, request, () -> false).isSuccess();
	}

	private boolean runSubAgent(ProgramId parent) throws InterruptedException {
		ProgramId child = open(parent);
		if (child == null) {
			return false;
		}
		int cacheable = this.cacheableTokens;
		this.cacheableTokens = 0;
		boolean isDone = takeTurn(child, 1, child.toString(), 1);
		this.cacheableTokens = cacheable;
		return close(child) && isDone;
	}

	private boolean takeTurn(ProgramId program, int turn, String owner, int modelTurn) throws InterruptedException {
		String mark = UpstreamChecker.mark(owner, modelTurn);
		String content = mark + " " + "x".repeat(this.shape.promptCharacters());
		CallerRequest request = chat(this.context.deployment(), this.workspace, this.shape.workKind(), content,
				this.shape.maxTokens())
			.inProgram(program, turn);
		CallOutcome outcome = this.context.send(this.workspace, this.pinned, request,
				() -> this.context.watch().isSeen(mark));
		if (!outcome.isSuccess()) {
			return false;
		}
		checkAnswer(this.context, content, outcome);
		if (this.cacheableTokens > 0) {
			this.context.measures().cache(this.cacheableTokens, outcome.cachedTokens());
		}
		this.cacheableTokens = outcome.promptTokens() + outcome.generatedTokens();
		return true;
	}

	static CallerRequest chat(DemoDeployment deployment, DemoWorkspace workspace, String workKind, String content,
			int maxTokens) {
		ObjectNode body = MAPPER.createObjectNode()
			.put("model", deployment.model())
			.put("stream", true)
			.put("max_tokens", maxTokens);
		body.putArray("messages").addObject().put("role", "user").put("content", content);
		return CallerRequest.of("POST", "/v1/chat/completions", workspace.key(), body.toString())
			.with("Nutmegdoor-Work", workKind)
			.streamed();
	}

	static void checkAnswer(LoadContext context, String content, CallOutcome outcome) {
		context.invariants()
			.check(Invariant.ANSWER_MATCH, outcome.text().startsWith(EngineStandin.digest(content)),
					() -> "an answer belongs to another request: " + outcome.text());
	}

	private boolean operate(OperationShape operation, ProgramId program, int turn) throws InterruptedException {
		String reference = UUID.randomUUID().toString();
		CallerRequest request = operation(this.workspace, operation, reference).inProgram(program, turn);
		if (operation.isAtMostOnce()) {
			request = request.with("Idempotency-Key", reference);
		}
		CallOutcome outcome = this.context.send(this.workspace, this.pinned, request,
				() -> this.context.watch().isRun(reference));
		if (!outcome.isSuccess()) {
			return false;
		}
		checkEcho(this.context, reference, outcome);
		if (operation.isAtMostOnce() && !this.context.watch().isRun(reference)) {
			this.context.measures().lost();
		}
		return true;
	}

	static CallerRequest operation(DemoWorkspace workspace, OperationShape operation, String reference) {
		return CallerRequest
			.of("POST", "/v1/services/" + operation.service() + "/" + operation.operation(), workspace.key(),
					"{\"reference\":\"" + reference + "\"}")
			.with("Nutmegdoor-Work", operation.workKind());
	}

	static void checkEcho(LoadContext context, String reference, CallOutcome outcome) {
		context.invariants()
			.check(Invariant.ANSWER_MATCH,
					parse(outcome.text()).path("request").path("reference").asText().equals(reference),
					() -> "an answer belongs to another request: " + outcome.text());
	}

	private void accessForeignProgram(ProgramId program) {
		InetSocketAddress address = (this.pinned != null) ? this.pinned : this.context.nextAddress();
		LoadContext.ForeignProgram other = this.context
			.exchangeOpened(new LoadContext.ForeignProgram(this.workspace.id(), program, address));
		if (other == null || other.workspace().equals(this.workspace.id())
				|| this.random.nextDouble() >= INTRUSION_FRACTION) {
			return;
		}
		CallerRequest request = CallerRequest.of("DELETE", "/v1/programs/" + other.id(), this.workspace.key(), "");
		CallOutcome outcome = this.context.sendOnce(this.workspace, other.address(), request);
		this.context.invariants()
			.check(Invariant.WORKSPACE_ISOLATION, !outcome.isSuccess(), () -> "workspace " + this.workspace.id()
					+ " closed program " + other.id() + " of " + other.workspace());
	}

	private static JsonNode parse(String text) {
		try {
			return MAPPER.readTree(text);
		}
		catch (JsonProcessingException ex) {
			return MAPPER.createObjectNode();
		}
	}

}
