package dev.nutmegdoor.core.schedule;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tracks the service time in milliseconds that each root program has received, including
 * its sub-agents.
 */
final class ProgramAccounts {

	/** Maximum number of accounts; the least recently used ones are removed beyond it. */
	private static final int MAX_PROGRAMS = 50_000;

	private final Map<String, Double> serviceMsByAccount = new LinkedHashMap<>(64, 0.75f, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
			return size() > MAX_PROGRAMS;
		}

	};

	double receivedServiceMs(String account) {
		return this.serviceMsByAccount.getOrDefault(account, 0.0);
	}

	void charge(String account, double serviceMs) {
		this.serviceMsByAccount.merge(account, serviceMs, Double::sum);
	}

	void remove(String account) {
		this.serviceMsByAccount.remove(account);
	}

	int size() {
		return this.serviceMsByAccount.size();
	}

}
