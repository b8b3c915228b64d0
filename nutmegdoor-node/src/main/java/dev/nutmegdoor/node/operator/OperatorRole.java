package dev.nutmegdoor.node.operator;

/**
 * What an operator may do.
 */
public enum OperatorRole {

	/** Reads state, metrics and explanations. */
	READ,

	/** Reads, and changes configuration, keys and the state of instances. */
	CHANGE;

	/**
	 * Returns whether this role includes another one.
	 * @param required role that an endpoint asks for
	 * @return {@code true} if an operator of this role may use the endpoint
	 */
	public boolean permits(OperatorRole required) {
		return compareTo(required) >= 0;
	}

}
