package dev.nutmegdoor.core.fault;

/**
 * Protocols whose steps the fault matrix covers.
 */
public enum Protocol {

	ADMISSION, FORWARD, DISPATCH, STREAM, SETTLE, APPEND, HAND_OVER, TAKEOVER, SHARE_TRANSFER, CONFIGURATION,
	KEY_WITHDRAWAL, DRAIN, ENGINE_ORDER, LEASE

}
