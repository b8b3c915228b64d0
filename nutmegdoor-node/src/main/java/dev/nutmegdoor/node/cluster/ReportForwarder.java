package dev.nutmegdoor.node.cluster;

import java.util.List;

import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.placement.CacheEvent;
import dev.nutmegdoor.core.placement.LoadReport;
import dev.nutmegdoor.core.schedule.ScheduledCallRunner;
import dev.nutmegdoor.node.upstream.ReportListener;

/**
 * Forwards load reports and cache events of engines to the scheduler.
 */
final class ReportForwarder implements ReportListener {

	private final ScheduledCallRunner scheduler;

	ReportForwarder(ScheduledCallRunner scheduler) {
		this.scheduler = scheduler;
	}

	@Override
	public void reportReceived(UpstreamId upstream, LoadReport report) {
		this.scheduler.reportReceived(upstream, report);
	}

	@Override
	public void eventsReceived(UpstreamId upstream, List<CacheEvent> events) {
		this.scheduler.eventsReceived(upstream, events);
	}

}
