import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** The platform's metadata store: objects by kind and name, with lists and watches. */
final class StoreStandin {

	private static final int PAGE = 500;

	private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new TreeMap<>();

	private final List<Change> changes = new ArrayList<>();

	private final HttpServer server;

	private long revision = 100;

	private volatile boolean isDown;

	StoreStandin(InetSocketAddress address) throws IOException {
		this.server = HttpServer.create(address, 200);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "store");
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/", this::handle);
		this.server.start();
	}

	/** While the store is down it answers each call with 503, which did nothing. */
	void setDown(boolean down) {
		this.isDown = down;
	}

	synchronized void put(String kind, String name, Object spec) {
		TreeMap<String, Map<String, Object>> objects = this.kinds.computeIfAbsent(kind, (key) -> new TreeMap<>());
		Map<String, Object> existing = objects.get(name);
		if (existing != null && Json.write(existing.get("Spec")).equals(Json.write(spec))) {
			return;
		}
		store(kind, name, spec, (existing != null) ? existing.get("Status") : null, existing);
	}

	synchronized void remove(String kind, String name) {
		Map<String, Object> removed = this.kinds.computeIfAbsent(kind, (key) -> new TreeMap<>()).remove(name);
		if (removed != null) {
			this.revision++;
			this.changes.add(new Change(this.revision, kind, removed, true));
			notifyAll();
		}
	}

	synchronized List<String> names(String kind) {
		return new ArrayList<>(this.kinds.getOrDefault(kind, new TreeMap<>()).keySet());
	}

	private Map<String, Object> store(String kind, String name, Object spec, Object status,
			Map<String, Object> existing) {
		this.revision++;
		Map<String, Object> meta = new LinkedHashMap<>();
		meta.put("Name", name);
		meta.put("Rev", this.revision);
		meta.put("Created",
				(existing != null) ? Json.object(existing.get("Meta")).get("Created") : (Object) this.revision);
		meta.put("Finalizers", new ArrayList<>());
		meta.put("Deleting", false);
		Map<String, Object> object = new LinkedHashMap<>();
		object.put("Meta", meta);
		object.put("Spec", spec);
		object.put("Status", status);
		this.kinds.computeIfAbsent(kind, (key) -> new TreeMap<>()).put(name, object);
		this.changes.add(new Change(this.revision, kind, object, false));
		notifyAll();
		return object;
	}

	private void handle(HttpExchange exchange) throws IOException {
		try {
			byte[] body = exchange.getRequestBody().readAllBytes();
			if (this.isDown) {
				answer(exchange, 503, Map.of());
				return;
			}
			String[] path = exchange.getRequestURI().getRawPath().split("/");
			Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
			String kind = (path.length > 2) ? decode(path[2]) : "";
			String name = (path.length > 3) ? decode(path[3]) : null;
			switch (exchange.getRequestMethod()) {
				case "GET" -> {
					if (name != null) {
						get(exchange, kind, name);
					}
					else if (query.containsKey("Watch")) {
						watch(exchange, kind, Long.parseLong(query.get("Watch")),
								Long.parseLong(query.getOrDefault("WaitMs", "0")));
					}
					else {
						list(exchange, kind, query.getOrDefault("after", ""));
					}
				}
				case "POST" -> create(exchange, kind, new String(body, StandardCharsets.UTF_8));
				case "PUT" -> update(exchange, kind, name, path.length > 4, new String(body, StandardCharsets.UTF_8));
				case "DELETE" -> delete(exchange, kind, name, query.get("Rev"));
				default -> answer(exchange, 405, Map.of());
			}
		}
		catch (RuntimeException ex) {
			answer(exchange, 400, Map.of("error", String.valueOf(ex)));
		}
		finally {
			exchange.close();
		}
	}

	private void get(HttpExchange exchange, String kind, String name) throws IOException {
		Map<String, Object> object;
		synchronized (this) {
			object = this.kinds.getOrDefault(kind, new TreeMap<>()).get(name);
		}
		answer(exchange, (object != null) ? 200 : 404, (object != null) ? object : Map.of());
	}

	private void list(HttpExchange exchange, String kind, String after) throws IOException {
		Map<String, Object> page = new LinkedHashMap<>();
		synchronized (this) {
			List<Object> items = new ArrayList<>();
			boolean hasMore = false;
			for (Map<String, Object> object : this.kinds.getOrDefault(kind, new TreeMap<>())
				.tailMap(after, after.isEmpty())
				.values()) {
				hasMore = items.size() == PAGE;
				if (hasMore) {
					break;
				}
				items.add(object);
			}
			page.put("items", items);
			page.put("HasMore", hasMore);
			page.put("CurrentRev", this.revision);
		}
		answer(exchange, 200, page);
	}

	private void watch(HttpExchange exchange, String kind, long after, long waitMs) throws IOException {
		long endMs = System.currentTimeMillis() + waitMs;
		Map<String, Object> result = new LinkedHashMap<>();
		synchronized (this) {
			List<Object> events = events(kind, after);
			try {
				while (events.isEmpty() && System.currentTimeMillis() < endMs) {
					wait(Math.max(1, endMs - System.currentTimeMillis()));
					events = events(kind, after);
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			result.put("events", events);
			result.put("CurrentRev", this.revision);
		}
		answer(exchange, this.isDown ? 503 : 200, result);
	}

	private List<Object> events(String kind, long after) {
		List<Object> events = new ArrayList<>();
		for (Change change : this.changes) {
			if (change.revision > after && change.kind.equals(kind)) {
				events.add(Map.of("Deleted", change.isDeleted, "Object", change.object));
			}
		}
		return events;
	}

	private void create(HttpExchange exchange, String kind, String body) throws IOException {
		Map<String, Object> sent = Json.object(Json.parse(body));
		String name = String.valueOf(Json.object(sent.get("Meta")).get("Name"));
		Map<String, Object> object;
		int status = 200;
		synchronized (this) {
			object = this.kinds.getOrDefault(kind, new TreeMap<>()).get(name);
			if (object != null) {
				status = 409;
			}
			else {
				object = store(kind, name, sent.get("Spec"), null, null);
			}
		}
		answer(exchange, status, object);
	}

	private void update(HttpExchange exchange, String kind, String name, boolean isStatus, String body)
			throws IOException {
		Map<String, Object> sent = Json.object(Json.parse(body));
		Object expected = Json.object(sent.get("Meta")).get("Rev");
		Map<String, Object> object;
		int status = 200;
		synchronized (this) {
			object = this.kinds.getOrDefault(kind, new TreeMap<>()).get(name);
			if (object == null) {
				status = 404;
				object = new LinkedHashMap<>();
			}
			else if (expected != null && !expected.equals(Json.object(object.get("Meta")).get("Rev"))) {
				status = 409;
			}
			else {
				object = store(kind, name, isStatus ? object.get("Spec") : sent.get("Spec"),
						isStatus ? sent.get("Status") : object.get("Status"), object);
			}
		}
		answer(exchange, status, object);
	}

	private void delete(HttpExchange exchange, String kind, String name, String expected) throws IOException {
		Map<String, Object> object;
		int status = 200;
		synchronized (this) {
			object = this.kinds.getOrDefault(kind, new TreeMap<>()).get(name);
			if (object == null) {
				status = 404;
				object = new LinkedHashMap<>();
			}
			else if (expected != null
					&& !expected.equals(String.valueOf(Json.object(object.get("Meta")).get("Rev")))) {
				status = 409;
			}
			else {
				remove(kind, name);
			}
		}
		answer(exchange, status, object);
	}

	private static void answer(HttpExchange exchange, int status, Map<String, Object> body) throws IOException {
		byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().add("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
	}

	private static Map<String, String> query(String raw) {
		Map<String, String> query = new TreeMap<>();
		for (String part : (raw != null) ? raw.split("&") : new String[0]) {
			int equals = part.indexOf('=');
			query.put(decode(part.substring(0, Math.max(0, equals))), decode(part.substring(equals + 1)));
		}
		return query;
	}

	private static String decode(String text) {
		return URLDecoder.decode(text, StandardCharsets.UTF_8);
	}

	private record Change(long revision, String kind, Map<String, Object> object, boolean isDeleted) {

	}

}
