package dev.nutmegdoor.node.operator;

/**
 * An operator as the settings name it.
 *
 * @param name name that is recorded with changes
 * @param tokenHash SHA-256 of the operator's token in lower-case hexadecimal
 * @param role what the operator may do
 */
public record OperatorAccount(String name, String tokenHash, OperatorRole role) {

}
