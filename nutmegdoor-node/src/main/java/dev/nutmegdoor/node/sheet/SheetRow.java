package dev.nutmegdoor.node.sheet;

import java.util.Map;

/**
 * Settings of one workspace in a sheet.
 *
 * @param row number of the row
 * @param workspace identifier of the workspace
 * @param ratePerSecond requests a second
 * @param burst requests at once
 * @param weight weight in fair queueing
 * @param keyHashes hashes of keys by identifier of the key
 * @param priorities priority by kind of work, for the kinds with a value
 */
record SheetRow(int row, String workspace, double ratePerSecond, int burst, int weight, Map<String, String> keyHashes,
		Map<String, Integer> priorities) {

	SheetRow {
		keyHashes = Map.copyOf(keyHashes);
		priorities = Map.copyOf(priorities);
	}

}
