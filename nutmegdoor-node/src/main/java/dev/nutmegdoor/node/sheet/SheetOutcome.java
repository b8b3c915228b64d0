package dev.nutmegdoor.node.sheet;

/**
 * Outcome of the load of a sheet.
 */
public enum SheetOutcome {

	/** The sheet is in force. */
	APPLIED,

	/** The sheet was in force already. */
	UNCHANGED,

	/** The sheet was only checked and could be applied. */
	CHECKED,

	/** Cells are wrong; nothing was changed. */
	INVALID,

	/** The sheet has to be forced; nothing was changed. */
	NEEDS_FORCE,

	/** The change of the configuration was not accepted; its outcome says why. */
	NOT_ACCEPTED

}
