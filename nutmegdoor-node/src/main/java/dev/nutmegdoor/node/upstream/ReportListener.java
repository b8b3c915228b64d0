package dev.nutmegdoor.node.upstream;

import java.util.List;

import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.placement.CacheEvent;
import dev.nutmegdoor.core.placement.LoadReport;

/**
 * Receives what engines report, on the control thread.
 */
public interface ReportListener {

	/**
	 * Called for each load report.
	 * @param upstream the engine
	 * @param report the report
	 */
	void reportReceived(UpstreamId upstream, LoadReport report);

	/**
	 * Called for each batch of cache events.
	 * @param upstream the engine
	 * @param events events in their order, with holes where events were lost
	 */
	void eventsReceived(UpstreamId upstream, List<CacheEvent> events);

}
