package dev.nutmegdoor.standin.http;

import java.util.List;

import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.node.settings.ListenSettings;
import dev.nutmegdoor.node.settings.SettingsSection;

/**
 * Settings of one replica of plain services.
 *
 * @param id identifier of the upstream
 * @param listen address of the replica
 * @param services services that the replica runs
 * @param meanLatencyMs mean duration of an operation
 * @param failureFraction part of the operations that fail with status 500 before any
 * effect
 * @param lostAnswerFraction part of the operations whose answer is lost after the effect
 */
public record ServiceStandinSettings(UpstreamId id, ListenSettings listen, List<String> services, double meanLatencyMs,
		double failureFraction, double lostAnswerFraction) {

	public ServiceStandinSettings {
		services = List.copyOf(services);
	}

	static ServiceStandinSettings read(SettingsSection section) {
		return new ServiceStandinSettings(section.identifier("id", UpstreamId::new), ListenSettings.read(section),
				section.texts("services", "name of a service"), section.decimal("meanLatencyMs", 0, 600_000, 10.0),
				section.decimal("failureFraction", 0, 1, 0.0), section.decimal("lostAnswerFraction", 0, 1, 0.0));
	}

}
