package dev.nutmegdoor.core.configuration;

/**
 * State of the configuration controller.
 *
 * @param version active version
 * @param changeId identifier of the change that produced the active version
 * @param knownVersion newest version that was announced to this instance
 * @param isReady whether the instance has loaded its initial version since its start
 * @param isWatching whether this instance watches the store
 * @param workspaces number of workspaces
 * @param keys number of keys
 * @param upstreams number of upstreams
 * @param applied number of versions applied since the start
 * @param lastApplyMs time from the first announcement of the active version to its
 * application in milliseconds
 * @param ignoredItems number of errors in items of the active version, which are ignored;
 * a newer release may have written items that this one cannot read
 */
public record ConfigurationDump(long version, String changeId, long knownVersion, boolean isReady, boolean isWatching,
		int workspaces, int keys, int upstreams, long applied, long lastApplyMs, int ignoredItems) {

}
