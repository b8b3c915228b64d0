package dev.nutmegdoor.core.configuration;

/**
 * State of the configuration controller.
 *
 * @param version version in force
 * @param changeId identifier of the change that produced it
 * @param knownVersion newest version that this instance has heard of
 * @param isReady whether the instance has learned the newest version since its start
 * @param isWatching whether this instance watches the store
 * @param workspaces number of workspaces
 * @param keys number of keys
 * @param upstreams number of upstreams
 * @param applied number of versions put in force since the start
 * @param lastApplyMs time from hearing of the version in force to its application in
 * milliseconds
 * @param ignoredItems items of a newer version that this one can't read
 */
public record ConfigurationDump(long version, String changeId, long knownVersion, boolean isReady, boolean isWatching,
		int workspaces, int keys, int upstreams, long applied, long lastApplyMs, int ignoredItems) {

}
