package dev.nutmegdoor.node.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.membership.Member;
import dev.nutmegdoor.core.membership.MembershipView;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.program.ProgramHomes;
import dev.nutmegdoor.core.program.UnresolvedCall;
import dev.nutmegdoor.node.operator.OperatorEndpoint;
import dev.nutmegdoor.node.operator.OperatorException;
import dev.nutmegdoor.node.operator.OperatorRequest;

/**
 * Operator endpoints that list and resolve calls with an unknown outcome. They cover the
 * programs whose homes are on the reachable instances; an instance that does not reply in
 * time is skipped.
 */
final class CallEndpoints {

	private static final long PEER_TIMEOUT_MS = 3_000;

	/** Keeps the reply of one instance well below the maximum frame size. */
	private static final int MAX_CALLS_PER_INSTANCE = 1_000;

	private final ProgramHomes homes;

	private final PeerTransport peers;

	private final MembershipView membership;

	private final ObjectMapper mapper;

	CallEndpoints(ProgramHomes homes, PeerTransport peers, MembershipView membership, ObjectMapper mapper) {
		this.homes = homes;
		this.peers = peers;
		this.membership = membership;
		this.mapper = mapper;
		peers.subscribe(UnresolvedQuery.class,
				(from, query) -> CompletableFuture.completedFuture(localUnresolved(query)));
		peers.subscribe(ResolveRequest.class, (from, request) -> resolveLocally(request));
	}

	List<OperatorEndpoint> endpoints() {
		return List.of(OperatorEndpoint.get("/operator/v1/calls/unresolved", (request) -> unresolved()),
				OperatorEndpoint.post("/operator/v1/calls/resolve", this::resolve));
	}

	private UnresolvedAnswer localUnresolved(UnresolvedQuery query) {
		return new UnresolvedAnswer(this.homes.unresolved().stream().limit(query.limit()).toList());
	}

	private CompletableFuture<ResolveAnswer> resolveLocally(ResolveRequest request) {
		return this.homes.resolve(request.log(), request.key(), request.result(), request.operator())
			.thenApply(ResolveAnswer::new);
	}

	private CompletableFuture<?> unresolved() {
		UnresolvedQuery query = new UnresolvedQuery(MAX_CALLS_PER_INSTANCE);
		List<CompletableFuture<UnresolvedAnswer>> answers = new ArrayList<>();
		for (Member member : this.membership.members()) {
			answers.add(isSelf(member.id()) ? CompletableFuture.completedFuture(localUnresolved(query))
					: this.peers.request(member.id(), query, UnresolvedAnswer.class, PEER_TIMEOUT_MS)
						.exceptionally((error) -> new UnresolvedAnswer(List.of())));
		}
		return CompletableFuture.allOf(answers.toArray(new CompletableFuture<?>[0])).thenApply((ignored) -> {
			List<UnresolvedCall> calls = new ArrayList<>();
			answers.forEach((answer) -> calls.addAll(answer.join().calls()));
			return calls;
		});
	}

	private CompletableFuture<?> resolve(OperatorRequest request) {
		String log = request.query("log");
		String key = request.query("key");
		if (log == null || key == null) {
			throw new OperatorException(400, "malformed-request", "the query parameters log and key are needed");
		}
		ResolveRequest resolveRequest = new ResolveRequest(ProgramId.parse(log), key, parseResult(request.body()),
				request.operator());
		return resolve(resolveRequest, this.membership.members(), 0).thenApply((isResolved) -> {
			if (!isResolved) {
				throw new OperatorException(409, "not-unresolved",
						"no reachable instance has an unresolved call with this log and key");
			}
			return Map.of("log", log, "key", key, "state", "resolved");
		});
	}

	private CompletableFuture<Boolean> resolve(ResolveRequest resolveRequest, List<Member> members, int index) {
		if (index >= members.size()) {
			return CompletableFuture.completedFuture(false);
		}
		InstanceId id = members.get(index).id();
		CompletableFuture<ResolveAnswer> answer = isSelf(id) ? resolveLocally(resolveRequest)
				: this.peers.request(id, resolveRequest, ResolveAnswer.class, PEER_TIMEOUT_MS)
					.exceptionally((error) -> new ResolveAnswer(false));
		return answer.thenCompose((value) -> value.isResolved() ? CompletableFuture.completedFuture(true)
				: resolve(resolveRequest, members, index + 1));
	}

	private boolean isSelf(InstanceId id) {
		return id.equals(this.peers.self());
	}

	private @Nullable CallResult parseResult(String body) {
		if (body.isBlank()) {
			return null;
		}
		try {
			this.mapper.readTree(body);
		}
		catch (JsonProcessingException ex) {
			throw new OperatorException(400, "malformed-request", "the answer is not JSON: " + ex.getMessage());
		}
		return new CallResult(new UpstreamId("operator"), 200, body, 0, 0, 0);
	}

}
