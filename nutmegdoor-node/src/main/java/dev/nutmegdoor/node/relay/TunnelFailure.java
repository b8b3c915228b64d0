package dev.nutmegdoor.node.relay;

/**
 * Why a tunnel to a replica was not opened.
 *
 * @param reason description for logs
 * @param isPeerUnavailable whether the other instance is of no use for any replica, as
 * opposed to a fault of this replica
 */
record TunnelFailure(String reason, boolean isPeerUnavailable) {

}
