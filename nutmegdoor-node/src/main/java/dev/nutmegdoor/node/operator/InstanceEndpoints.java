package dev.nutmegdoor.node.operator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.explain.DecisionIds;
import dev.nutmegdoor.core.explain.DecisionLog;
import dev.nutmegdoor.core.explain.DecisionVerifier;
import dev.nutmegdoor.core.explain.Explanation;
import dev.nutmegdoor.core.id.DecisionId;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.Member;
import dev.nutmegdoor.core.membership.MembershipView;
import dev.nutmegdoor.core.peer.PeerTransport;

/**
 * Operations that concern one instance: its state, the decisions it made, its drain. They
 * are answered by any instance, which asks the one that is meant.
 */
public final class InstanceEndpoints {

	private static final long QUERY_TIMEOUT_MS = 5_000;

	private final PeerTransport peers;

	private final MembershipView membership;

	private final DecisionLog decisions;

	private final DecisionVerifier verifier;

	private final StateDump dump;

	private final Runnable drain;

	private final ObjectMapper mapper;

	/**
	 * Creates the operations and registers the handler for queries of other instances.
	 * @param peers transport between instances
	 * @param membership instances of the deployment
	 * @param decisions decisions of this instance
	 * @param verifier verifies recorded decisions
	 * @param dump state of this instance
	 * @param drain starts the drain of this instance
	 * @param mapper writes JSON
	 */
	public InstanceEndpoints(PeerTransport peers, MembershipView membership, DecisionLog decisions,
			DecisionVerifier verifier, StateDump dump, Runnable drain, ObjectMapper mapper) {
		this.peers = peers;
		this.membership = membership;
		this.decisions = decisions;
		this.verifier = verifier;
		this.dump = dump;
		this.drain = drain;
		this.mapper = mapper;
		peers.subscribe(RemoteQuery.class,
				(from, query) -> CompletableFuture.completedFuture(new RemoteAnswer(answer(query).toString())));
	}

	/**
	 * Returns the operations.
	 * @return endpoints of the operator API
	 */
	public List<OperatorEndpoint> endpoints() {
		return List.of(OperatorEndpoint.get("/operator/v1/instances", (request) -> instances()),
				OperatorEndpoint.get("/operator/v1/dump", this::dump),
				OperatorEndpoint.get("/operator/v1/decisions/{id}", this::explain),
				OperatorEndpoint.post("/operator/v1/instances/{id}/drain", this::drain));
	}

	private CompletableFuture<?> instances() {
		return CompletableFuture.completedFuture(this.membership.members());
	}

	private CompletableFuture<?> dump(OperatorRequest request) {
		String instance = request.query("instance");
		RemoteQuery query = new RemoteQuery(RemoteQuery.Subject.DUMP, request.query("part"));
		return ask((instance != null) ? new InstanceId(instance) : this.peers.self(), query);
	}

	private CompletableFuture<?> drain(OperatorRequest request) {
		return ask(new InstanceId(request.path("id")), new RemoteQuery(RemoteQuery.Subject.DRAIN, null));
	}

	private CompletableFuture<?> explain(OperatorRequest request) {
		// The entry instance and the home of the program both decide about a request, and
		// the home can change, so all instances are asked.
		DecisionId id = new DecisionId(request.path("id"));
		InstanceId issuer = DecisionIds.issuingInstance(id);
		if (issuer == null) {
			throw new OperatorException(400, "malformed-request",
					"a decision id has the form <instance>:<number> but is '" + id + "'");
		}
		RemoteQuery.Subject subject = request.hasFlag("verify") ? RemoteQuery.Subject.VERIFY
				: RemoteQuery.Subject.EXPLAIN;
		RemoteQuery query = new RemoteQuery(subject, id.value());
		ExplanationCollector collector = new ExplanationCollector(id, issuer);
		List<CompletableFuture<Void>> pending = new ArrayList<>();
		for (Member member : this.membership.members()) {
			pending.add(ask(member.id(), query).handle((answer, error) -> {
				collector.add(member.id(), (error != null) ? null : answer);
				return null;
			}));
		}
		return CompletableFuture.allOf(pending.toArray(new CompletableFuture<?>[0]))
			.thenApply((ignored) -> collector.result(this.mapper));
	}

	private CompletableFuture<JsonNode> ask(InstanceId instance, RemoteQuery query) {
		if (instance.equals(this.peers.self())) {
			return CompletableFuture.completedFuture(answer(query));
		}
		return this.peers.request(instance, query, RemoteAnswer.class, QUERY_TIMEOUT_MS)
			.thenApply(this::parse)
			.exceptionally((error) -> {
				throw new CompletionException(new OperatorException(502, "instance-unreachable",
						"instance " + instance + " can't be asked: " + error.getMessage()));
			});
	}

	private JsonNode parse(RemoteAnswer answer) {
		try {
			return this.mapper.readTree(answer.json());
		}
		catch (JsonProcessingException ex) {
			throw new OperatorException(502, "instance-unreachable", "the answer is not JSON: " + ex.getMessage());
		}
	}

	private JsonNode answer(RemoteQuery query) {
		return switch (query.subject()) {
			case DUMP -> this.mapper.valueToTree(dumpPart(query.argument()));
			case EXPLAIN -> this.mapper.valueToTree(explain(query.argument()));
			case VERIFY -> this.mapper.valueToTree(verify(explain(query.argument())));
			case DRAIN -> startDrain();
		};
	}

	private Map<String, Object> dumpPart(@Nullable String part) {
		Map<String, Object> result = new LinkedHashMap<>();
		result.put("instance", this.peers.self());
		result.putAll(this.dump.dump(part));
		return result;
	}

	private Explanation explain(@Nullable String id) {
		if (id == null) {
			throw new OperatorException(400, "malformed-request", "the query names no decision");
		}
		return this.decisions.explain(new DecisionId(id));
	}

	private VerifiedExplanation verify(Explanation explanation) {
		List<VerifiedRecord> records = new ArrayList<>();
		for (JsonNode record : explanation.records()) {
			records.add(new VerifiedRecord(record, this.verifier.verify(record)));
		}
		return new VerifiedExplanation(explanation.id(), explanation.status(), records);
	}

	private JsonNode startDrain() {
		this.drain.run();
		return this.mapper.createObjectNode().put("instance", this.peers.self().value()).put("state", "draining");
	}

}
